package platform

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
)

// Server is the stand-in for the platform. It implements http.Handler.
type Server struct {
	app    *iris.Application
	store  *kvstoretest.Fake
	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc

	mu    sync.Mutex
	stats Stats
}

// Stats holds the number of calls and of body bytes, received and sent together,
// by kind of call.
type Stats struct {
	Calls map[kvstore.CallKind]int64 `json:"calls"`
	Bytes map[kvstore.CallKind]int64 `json:"bytes"`
}

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down makes all calls except the release of a lease fail with 503.
	Down bool `json:"down"`
	// SlowMillis delays each response, in milliseconds. The call takes effect
	// before the delay.
	SlowMillis int64 `json:"slow_ms"`
	// LoseAnswers is the number of next writes that take effect but get no
	// response.
	LoseAnswers int `json:"lose_answers"`
	// CutClients are the ids of the clients whose connections are closed without a
	// response.
	CutClients []string `json:"cut_clients"`
	// ListLagMillis is the time by which the instance list lags behind
	// registrations, in milliseconds.
	ListLagMillis int64 `json:"list_lag_ms"`
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in with an empty store. It returns an error when the routes
// cannot be built.
func New() (*Server, error) {
	s := &Server{
		app:   iris.New(),
		store: kvstoretest.NewFake(),
		stats: Stats{Calls: map[kvstore.CallKind]int64{}, Bytes: map[kvstore.CallKind]int64{}},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.app.Logger().SetLevel("disable")
	s.app.Configure(iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	s.app.Get("/v1/kv/{key:path}", s.get)
	s.app.Put("/v1/kv/{key:path}", s.swap)
	s.app.Post("/v1/leases/{name:path}", s.acquire)
	s.app.Delete("/v1/leases/{name:path}", s.release)
	s.app.Get("/v1/instances", s.list)
	s.app.Put("/v1/instances/{id}", s.register)
	s.app.Delete("/v1/instances/{id}", s.deregister)
	s.app.Put("/control/faults", s.setFaults)
	s.app.Get("/control/stats", s.getStats)
	if err := s.app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the routes of the platform stand-in")
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// Store returns the store behind the server.
func (s *Server) Store() *kvstoretest.Fake { return s.store }

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.store.CutOnly(f.CutClients...)
	s.store.SetDown(f.Down)
	s.store.SetResponseDelay(time.Duration(f.SlowMillis) * time.Millisecond)
	s.store.LoseAnswers(f.LoseAnswers)
	s.store.SetListLag(time.Duration(f.ListLagMillis) * time.Millisecond)
}

// Stats returns the counts since New.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Calls: maps.Clone(s.stats.Calls), Bytes: maps.Clone(s.stats.Bytes)}
}

// Close ends waiting calls with 503, so that an http.Server can shut down.
func (s *Server) Close() { s.cancel() }

// call is one request of a client.
type call struct {
	iris.Context
	server *Server
	kind   kvstore.CallKind
	id     string // of the client
	client *kvstoretest.Client
	ctx    context.Context
	cancel func()
}

// beginCall counts a call and returns it with a context that Close cancels too.
func (s *Server) beginCall(c iris.Context, kind kvstore.CallKind) *call {
	ctx, cancel := context.WithCancel(c.Request().Context())
	unbind := context.AfterFunc(s.ctx, cancel)
	id := c.GetHeader("X-Client")
	k := &call{
		Context: c, server: s, kind: kind, id: id, client: s.store.Client(id), ctx: ctx,
		cancel: func() { unbind(); cancel() },
	}
	s.mu.Lock()
	s.stats.Calls[kind]++
	s.mu.Unlock()
	return k
}

func (k *call) countBytes(n int) {
	k.server.mu.Lock()
	k.server.stats.Bytes[k.kind] += int64(n)
	k.server.mu.Unlock()
}

// readBody reads a request body of at most limit bytes. If the body is longer or
// cannot be read, it writes the response and returns false.
func (k *call) readBody(limit int64) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(k.Request().Body, limit+1))
	k.countBytes(len(body))
	switch {
	case err != nil:
		k.StatusCode(http.StatusBadRequest)
	case int64(len(body)) > limit:
		k.StatusCode(http.StatusRequestEntityTooLarge)
	default:
		return body, true
	}
	return nil, false
}

// decodeBody reads a JSON body. If it is too long or malformed, it writes the
// response and returns false.
func (k *call) decodeBody(into any) bool {
	body, ok := k.readBody(kvstore.MaxValueBytes)
	if ok && json.Unmarshal(body, into) != nil {
		k.StatusCode(http.StatusBadRequest)
		return false
	}
	return ok
}

// uintParam reads an unsigned query parameter. If it is missing or malformed, it
// writes the response and returns false.
func (k *call) uintParam(name string) (uint64, bool) {
	n, err := strconv.ParseUint(k.URLParam(name), 10, 64)
	if err != nil {
		k.StatusCode(http.StatusBadRequest)
	}
	return n, err == nil
}

// writeError responds to a failed call. For a lost response or a cut client it
// closes the connection instead, because such a client receives no response.
func (k *call) writeError(err error) {
	if k.server.store.IsCut(k.id) || failure.Is(err, failure.Uncertain) {
		panic(http.ErrAbortHandler)
	}
	k.StatusCode(failure.Status(failure.KindOf(err)))
}

func (k *call) writeJSON(status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		k.StatusCode(http.StatusInternalServerError)
		return
	}
	k.countBytes(len(body))
	k.StatusCode(status)
	k.ContentType("application/json")
	_, _ = k.Write(body) // a write fails only when the client has disconnected
}

func (k *call) setVersionHeader(version uint64) {
	k.Header("X-Version", strconv.FormatUint(version, 10))
}

// writeResult responds to a write: 204, or the error.
func (k *call) writeResult(err error) {
	if err != nil {
		k.writeError(err)
		return
	}
	k.StatusCode(http.StatusNoContent)
}
