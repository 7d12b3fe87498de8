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

// maxBodyBytes bounds the part of a request body that is read. Long patient
// histories are far smaller.
const maxBodyBytes = 16 << 20

// Server is the HTTP server that both kinds of endpoint stand-in embed.
type Server struct {
	FaultInjector
	// App is the router; the endpoint adds its routes before Run.
	App *iris.Application
	// Incarnation identifies this run of the endpoint.
	Incarnation string
	// Journal receives a line "executed <id>" for each execution; nil turns it
	// off. It shows what was executed even when the process was killed.
	Journal io.Writer

	onCrash func()
	http    *http.Server
	ctx     context.Context
	cancel  context.CancelFunc

	buildOnce sync.Once
	buildErr  error

	mu         sync.Mutex
	executions map[string]int
	total      int
	closed     bool
	handlers   sync.WaitGroup
}

// NewServer returns a server with the control routes. It calls onCrash when a
// request crashes the endpoint, before it closes the listener and all
// connections; onCrash can be nil. stats returns the body for GET /control/stats.
func NewServer(id string, onCrash func(), stats func() any) *Server {
	s := &Server{App: iris.New(), Incarnation: id + "-" + rand.Text()[:8], onCrash: onCrash, executions: map[string]int{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.trackHandler), ReadHeaderTimeout: 10 * time.Second}
	s.App.Configure(iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	s.App.Logger().SetLevel("disable")
	s.App.UseRouter(func(ctx iris.Context) {
		if id := ctx.GetHeader("X-Request-Id"); id != "" {
			ctx.Header("X-Request-Id", id)
		}
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

// trackHandler counts the running handlers, because http.Server.Close does not
// wait for them.
func (s *Server) trackHandler(w http.ResponseWriter, r *http.Request) {
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

// Handler returns the HTTP handler, for use without a listener. It returns an
// error when the routes cannot be built.
func (s *Server) Handler() (http.Handler, error) {
	s.buildOnce.Do(func() { s.buildErr = errors.Wrap(s.App.Build(), "build routes") })
	return s.http.Handler, s.buildErr
}

// Run serves on l until Close is called or ctx ends, and then waits for the
// running handlers.
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

// Close closes the listener and all connections and cancels Context.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	_ = s.http.Close() // an error only means that the listener was already closed
}

// Context returns a context that is cancelled when the server is closed or has
// crashed.
func (s *Server) Context() context.Context { return s.ctx }

// RecordExecution counts an execution of the request with the given id and writes
// it to Journal.
func (s *Server) RecordExecution(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id]++
	s.total++
	if s.Journal != nil {
		_, _ = fmt.Fprintln(s.Journal, "executed", id) // a line that is not written shows as a missing execution
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

// ReadBody reads a request body, and crashes the endpoint if the body contains
// Faults.CrashOn. If the body cannot be read, it answers 400 and returns false.
func (s *Server) ReadBody(ctx iris.Context) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxBodyBytes))
	if err != nil {
		WriteError(ctx, iris.StatusBadRequest, "the request body could not be read")
		return nil, false
	}
	if text := s.Faults().CrashOn; text != "" && bytes.Contains(body, []byte(text)) {
		if s.onCrash != nil {
			s.onCrash()
		}
		s.Close()
		panic(http.ErrAbortHandler)
	}
	return body, true
}

// Interrupt interrupts the response. It panics with http.ErrAbortHandler unless
// interruption is NoInterruption; for Silence only after the client or the server
// has closed the connection.
func (s *Server) Interrupt(ctx iris.Context, interruption Interruption) {
	switch interruption {
	case Silence:
		ctx.ResponseWriter().Flush()
		select {
		case <-ctx.Request().Context().Done():
		case <-s.ctx.Done():
		}
	case Cut:
		ctx.ResponseWriter().Flush()
	case NoInterruption:
		return
	}
	panic(http.ErrAbortHandler)
}

// Sleep waits for d. It returns false when ctx or the server's Context ends first.
func (s *Server) Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil && s.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return false
}

// Runner is a stand-in that serves on a listener until ctx ends.
type Runner interface {
	Run(ctx context.Context, l net.Listener) error
}

// Start runs a stand-in on a free loopback port, for tests and benchmarks in the
// same process. stop stops it, waits until Run returns and returns its error.
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

// Main runs a stand-in on address until SIGTERM or SIGINT. It prints
// "listening <address>" to standard output as soon as it listens.
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
