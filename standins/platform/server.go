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

// Server is the stand-in as an http.Handler.
type Server struct {
	app   *iris.Application
	store *kvstoretest.Fake
	open  context.Context // ends with Close
	close context.CancelFunc

	mu    sync.Mutex
	stats Stats
}

// Stats counts calls and body bytes in both directions by kind of call.
type Stats struct {
	Calls map[kvstore.CallKind]int64 `json:"calls"`
	Bytes map[kvstore.CallKind]int64 `json:"bytes"`
}

// Faults are the test switches. A value replaces all of them.
type Faults struct {
	Down          bool     `json:"down"`
	SlowMillis    int64    `json:"slow_ms"`
	LoseAnswers   int      `json:"lose_answers"`
	CutClients    []string `json:"cut_clients"`
	ListLagMillis int64    `json:"list_lag_ms"`
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in with an empty store.
func New() (*Server, error) {
	s := &Server{
		app:   iris.New(),
		store: kvstoretest.NewFake(),
		stats: Stats{Calls: map[kvstore.CallKind]int64{}, Bytes: map[kvstore.CallKind]int64{}},
	}
	s.open, s.close = context.WithCancel(context.Background())
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

// SetFaults replaces all test switches.
func (s *Server) SetFaults(f Faults) {
	s.store.CutOnly(f.CutClients...)
	s.store.SetDown(f.Down)
	s.store.SetResponseDelay(time.Duration(f.SlowMillis) * time.Millisecond)
	s.store.LoseAnswers(f.LoseAnswers)
	s.store.SetListLag(time.Duration(f.ListLagMillis) * time.Millisecond)
}

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Calls: maps.Clone(s.stats.Calls), Bytes: maps.Clone(s.stats.Bytes)}
}

// Close ends the waiting calls with 503, so that an http.Server can shut down.
func (s *Server) Close() { s.close() }

// call is one request of a client with what all handlers need.
type call struct {
	iris.Context
	server *Server
	kind   kvstore.CallKind
	id     string
	client *kvstoretest.Client
	ctx    context.Context
	cancel func()
}

// begin counts a call and binds its context to the server's life.
func (s *Server) begin(c iris.Context, kind kvstore.CallKind) *call {
	ctx, cancel := context.WithCancel(c.Request().Context())
	unbind := context.AfterFunc(s.open, cancel)
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

// body reads at most limit bytes of the request. It answers the call itself
// and returns false when the body is unusable.
func (k *call) body(limit int64) ([]byte, bool) {
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

// decode reads a JSON body; it answers the call itself and returns false when
// the body is unusable.
func (k *call) decode(into any) bool {
	body, ok := k.body(kvstore.MaxValueBytes)
	if ok && json.Unmarshal(body, into) != nil {
		k.StatusCode(http.StatusBadRequest)
		return false
	}
	return ok
}

// number reads an unsigned query parameter; it answers the call itself and
// returns false when the parameter is missing or malformed.
func (k *call) number(name string) (uint64, bool) {
	n, err := strconv.ParseUint(k.URLParam(name), 10, 64)
	if err != nil {
		k.StatusCode(http.StatusBadRequest)
	}
	return n, err == nil
}

// fail answers a failed call. A lost answer and a cut client break the
// connection, which is all that their callers can see.
func (k *call) fail(err error) {
	if k.server.store.IsCut(k.id) || failure.Is(err, failure.Uncertain) {
		panic(http.ErrAbortHandler)
	}
	k.StatusCode(failure.Status(failure.KindOf(err)))
}

func (k *call) json(status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		k.StatusCode(http.StatusInternalServerError)
		return
	}
	k.countBytes(len(body))
	k.StatusCode(status)
	k.ContentType("application/json")
	_, _ = k.Write(body) // a failed write means that the client has left
}

func (k *call) version(version uint64) { k.Header("X-Version", strconv.FormatUint(version, 10)) }

// done answers a write without content.
func (k *call) done(err error) {
	if err != nil {
		k.fail(err)
		return
	}
	k.StatusCode(http.StatusNoContent)
}
