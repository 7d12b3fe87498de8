package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/relay"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	testShard  = ledger.ShardID{Domain: "yaba", Shard: 0}
	testBudget = ledger.BudgetKey{Workspace: "ward", Budget: "main"}
)

// fakeLedger is a shard owner that decides with the real ledger.State. The hooks
// run before a call; a reply or error that they return replaces it.
type fakeLedger struct {
	mu            sync.Mutex
	state         *ledger.State
	onReserve     func(ledger.ReserveRequest) (*ledger.ReserveReply, error)
	onSettle      func(ledger.SettleRequest) error
	repliesToLose int // number of Reserve calls that take effect but whose reply is lost
	reserves      []ledger.ReserveRequest
	settles       []ledger.SettleRequest
}

func newFakeLedger(granted ledger.Tokens) *fakeLedger {
	s := ledger.NewState(testShard, 1, ledger.Retention{Repeatable: time.Hour, NonRepeatable: time.Hour})
	s.Commit(s.PlanSyncGrant(testBudget, granted, 1))
	return &fakeLedger{state: s}
}

func (f *fakeLedger) NewID(ledger.BudgetKey) (ledger.RequestID, error) {
	return ledger.NewIssuedID(testShard, 1, time.Now()), nil
}

func (f *fakeLedger) CallerKeyID(b ledger.BudgetKey, key string) (ledger.RequestID, error) {
	return ledger.NewCallerKeyID(testShard, b.Workspace, key), nil
}

func (f *fakeLedger) Reserve(_ context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserves = append(f.reserves, req)
	if f.onReserve != nil {
		if reply, err := f.onReserve(req); reply != nil || err != nil {
			if reply == nil {
				reply = &ledger.ReserveReply{}
			}
			return *reply, err
		}
	}
	reply, m, err := f.state.PlanReserve(req, time.Now())
	if m != nil {
		f.state.Commit(m)
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return ledger.ReserveReply{}, failure.New(failure.Uncertain, "", "reply lost")
	}
	return reply, err
}

func (f *fakeLedger) Settle(_ context.Context, req ledger.SettleRequest) (ledger.SettleReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onSettle != nil {
		if err := f.onSettle(req); err != nil {
			return ledger.SettleReply{}, err
		}
	}
	reply, m, err := f.state.PlanSettle(req, time.Now())
	if f.settles = append(f.settles, req); m != nil {
		f.state.Commit(m)
	}
	return reply, err
}

func (f *fakeLedger) Lookup(_ context.Context, id string) (ledger.RequestStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	status, ok := f.state.Lookup(id)
	if !ok {
		return status, failure.New(failure.NotFound, "", "no record of %s", id)
	}
	return status, nil
}

func (f *fakeLedger) right() ledger.Right {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Right(testBudget)
}

type fakeConfig struct{ doc *config.Document }

func (c fakeConfig) Current() *config.Document { return c.doc }

// fakePeers holds the attach handlers of the servers by address.
type fakePeers map[string]*peerHandlers

type peerHandlers struct{ attach peer.Handler }

func (h *peerHandlers) Handle(_ peer.Method, f peer.Handler) { h.attach = f }

func (p fakePeers) Call(ctx context.Context, address string, _ peer.Method, req, resp any) error {
	h := p[address]
	if h == nil {
		return failure.New(failure.Unavailable, "", "%s does not answer", address)
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	reply, err := h.attach(ctx, peer.Identity{}, body)
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(body, resp)
}

// hasReader reports whether a repeat has read the answer of a request's first
// attempt.
func (t *requestTable) hasReader(id string) bool {
	e, _, _ := t.lookup(id, 1)
	return e != nil && e.answer.hasReaderSince(time.Time{})
}

// fixture is an instance with its endpoints and the HTTP server for callers.
type fixture struct {
	*Server
	pool       *routing.Pool
	t          *testing.T
	ledger     *fakeLedger
	doc        *config.Document
	peers      fakePeers
	quarantine *quarantine.Tracker
	notices    []quarantine.Notice
	http       *httptest.Server
	client     *http.Client
}

func newFixture(t *testing.T, endpoints ...http.Handler) *fixture {
	f := &fixture{t: t, ledger: newFakeLedger(100000), peers: fakePeers{}, quarantine: quarantine.New(quarantine.Options{}, nil)}
	f.doc = &config.Document{Shards: 1, Domains: []string{"yaba"}, Workspaces: []config.Workspace{{
		Name: "ward", KeyHash: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
		DefaultBudget: "main",
	}}}
	model := config.Service{Name: "llm", Kind: config.ModelService, MaxOutputTokens: 100,
		Timeout: 20 * time.Second, FirstByteTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
	for i, h := range endpoints {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		model.Endpoints = append(model.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("e%d", i), Domain: "yaba", Address: server.Listener.Addr().String()})
	}
	app := model
	app.Name, app.Kind = "rounds", config.AppService
	app.Routes = []config.Route{
		{Method: "POST", PathPrefix: "/book", Price: 50},
		{Method: "GET", PathPrefix: "/", Price: 5, Repeatable: true},
	}
	f.doc.Services = []config.Service{model, app}
	f.start("self", f.ledger)
	return f
}

func (f *fixture) start(incarnation string, l Ledger) {
	pool := routing.New("yaba", routing.Options{Seed: 1}, nil)
	pool.Update(f.doc)
	f.pool = pool
	client := relay.New(relay.Options{Instance: incarnation})
	for _, e := range f.doc.Services[0].Endpoints {
		client.RecordIncarnation(e.ID, "i0")
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Server = New(Options{
		Self:   peer.Identity{Instance: incarnation, Incarnation: incarnation, Address: incarnation},
		Ledger: l, Configuration: fakeConfig{f.doc}, Peers: f.peers, Router: pool,
		Quarantine: f.quarantine, Relay: client, Log: log,
		Notify: func(n []quarantine.Notice) { f.notices = append(f.notices, n...) },
	})
	h := &peerHandlers{}
	f.RegisterPeer(h)
	f.peers[incarnation] = h
	f.http = httptest.NewUnstartedServer(f.Server)
	f.http.Config.ConnContext = abort.ConnContext
	f.http.Start()
	f.client = &http.Client{Transport: &http.Transport{}}
	server, callers, callersHTTP := f.Server, f.client, f.http
	f.t.Cleanup(func() {
		callers.CloseIdleConnections()
		callersHTTP.Close()
		server.Close()
		client.Close()
	})
}

// startSecond starts another instance that shares the ledger, peers and endpoints.
func (f *fixture) startSecond(incarnation string) *fixture {
	g := *f
	g.start(incarnation, f.ledger)
	return &g
}

type response struct {
	status  int
	outcome string
	body    string
	err     error
}

func (f *fixture) newRequest(ctx context.Context, method, path, body string, headers ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, f.http.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer secret")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Add(name, value)
	}
	return r
}

func (f *fixture) send(method, path, body string, headers ...string) response {
	resp, err := f.client.Do(f.newRequest(context.Background(), method, path, body, headers...))
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get(failure.OutcomeHeader), string(data), err}
}

// drain stops the instance and waits until all settlements are confirmed.
func (f *fixture) drain() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.Drain(ctx); err != nil {
		f.t.Fatal("drain:", err)
	}
}

const chatBody = `{"model":"llm","messages":[{"role":"user","content":"hello"}],"max_tokens":10,"stream":true}`

// serveStream sends three events with content, the usage and the terminal marker.
func serveStream(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	writeEvents(w, 1, 4)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func writeEvents(w io.Writer, from, to int) {
	for i := from; i <= to; i++ {
		chunk := fmt.Sprintf(`{"choices":[{"delta":{"content":"w%d "}}]}`, i)
		if i == 4 {
			chunk = `{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":3}}`
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, chunk)
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// breakConnection aborts the response, so that the server closes the connection.
func breakConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func isWholeStream(body string) bool {
	return strings.HasSuffix(body, "data: [DONE]\n\n") && strings.Contains(body, "w3")
}
