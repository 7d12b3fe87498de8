package endpoint

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
)

const maxBodyBytes = 16 << 20 // long patient histories stay far below

// Server is the HTTP side that both kinds of endpoint share.
type Server struct {
	FaultInjector
	// App takes the routes of the endpoint before Run.
	App         *iris.Application
	Incarnation string
	// Journal gets a line "executed <id>" for each execution; nil for none. It
	// tells what ran after the process was killed.
	Journal io.Writer

	crash func()
	http  *http.Server
	base  context.Context
	stop  context.CancelFunc

	build    sync.Once
	buildErr error

	mu         sync.Mutex
	executions map[string]int
	total      int
	closed     bool
	handlers   sync.WaitGroup
}

// NewServer returns a server with the control routes. crash is called when a
// request crashes the endpoint; nil closes the listener and all connections.
// stats gives the totals for GET /control/stats.
func NewServer(id string, crash func(), stats func() any) *Server {
	s := &Server{App: iris.New(), Incarnation: id + "-" + rand.Text()[:8], crash: crash, executions: map[string]int{}}
	s.base, s.stop = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	s.App.Configure(iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	s.App.Logger().SetLevel("disable")
	s.App.UseRouter(func(ctx iris.Context) {
		if s.Faults().Draining {
			ctx.Header("X-Draining", "true")
		}
		ctx.Next()
	})
	s.App.Put("/control/faults", func(ctx iris.Context) {
		var f Faults
		if ReadJSON(ctx, &f) {
			s.SetFaults(f)
			ctx.StatusCode(iris.StatusNoContent)
		}
	})
	s.App.Get("/control/executions", func(ctx iris.Context) {
		WriteJSON(ctx, iris.StatusOK, iris.Map{"count": s.Executions(ctx.URLParam("id"))})
	})
	s.App.Get("/control/stats", func(ctx iris.Context) { WriteJSON(ctx, iris.StatusOK, stats()) })
	return s
}

// serve tracks the handlers, since http.Server.Close does not wait for them.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.handlers.Add(1)
	s.mu.Unlock()
	defer s.handlers.Done()
	s.App.ServeHTTP(w, r)
}

// Handler returns the handler of the endpoint for calls without a listener.
func (s *Server) Handler() (http.Handler, error) {
	s.build.Do(func() { s.buildErr = errors.Wrap(s.App.Build(), "build routes") })
	return s.http.Handler, s.buildErr
}

// Run serves on l until Close is called or ctx ends, and waits for the handlers.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	if _, err := s.Handler(); err != nil {
		return err
	}
	defer context.AfterFunc(ctx, s.Close)()
	err := s.http.Serve(l)
	s.Close()
	s.handlers.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Close closes the listener and all connections and ends Context.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	_ = s.http.Close() // only reports that the listener was closed before
}

// Context ends when the server is closed or has crashed.
func (s *Server) Context() context.Context { return s.base }

// RecordExecution counts an execution of the request with the given id.
func (s *Server) RecordExecution(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id]++
	s.total++
	if s.Journal != nil {
		_, _ = fmt.Fprintln(s.Journal, "executed", id) // a lost line shows as a missing execution
	}
}

// Executions returns how often the request with the given id was executed.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// TotalExecutions returns the number of executions of all requests.
func (s *Server) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ReadBody reads a request body and crashes the endpoint if the switches say so.
func (s *Server) ReadBody(ctx iris.Context) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxBodyBytes))
	if err != nil {
		WriteError(ctx, iris.StatusBadRequest, "the request body could not be read")
		return nil, false
	}
	if text := s.Faults().CrashOn; text != "" && bytes.Contains(body, []byte(text)) {
		if s.crash != nil {
			s.crash()
		}
		s.Close()
		panic(http.ErrAbortHandler)
	}
	return body, true
}

// Interrupt breaks the answer off. It does not return unless b is NoBreak.
func (s *Server) Interrupt(ctx iris.Context, b Interruption) {
	switch b {
	case Silence:
		ctx.ResponseWriter().Flush()
		select {
		case <-ctx.Request().Context().Done():
		case <-s.base.Done():
		}
	case Cut:
		ctx.ResponseWriter().Flush()
	case NoInterruption:
		return
	}
	panic(http.ErrAbortHandler)
}

// Sleep waits and reports whether the client and the server are still there.
func (s *Server) Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil && s.base.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-s.base.Done():
	}
	return false
}

// Runner is a stand-in.
type Runner interface {
	Run(ctx context.Context, l net.Listener) error
}

// Start runs a stand-in on a free loopback port, for tests and benchmarks in the
// same process. stop ends it, waits for it and returns the error of Run.
func Start(r Runner) (address string, stop func() error, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen on a loopback port")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx, l) }()
	return l.Addr().String(), sync.OnceValue(func() error {
		cancel()
		return <-done
	}), nil
}

// Main runs a stand-in until SIGTERM or SIGINT. It prints "listening <address>"
// on stdout once connections are accepted.
func Main(address string, r Runner) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	fmt.Println("listening", l.Addr())
	return r.Run(ctx, l)
}
