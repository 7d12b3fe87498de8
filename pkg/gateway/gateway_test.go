package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/hedge"
	"github.com/clementinerack/clementinerack/pkg/lineage"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/upstream"
	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRights implements gateway.Rights for one workspace, in memory.
type fakeRights struct {
	mu             sync.Mutex
	free, reserved rights.Tokens
}

func (f *fakeRights) Reserve(_ context.Context, r gateway.Reservation) (*failure.Error, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.free < r.Tokens {
		return failure.New(failure.Limited, "", "too few rights").WithOutcome(failure.NotRun), time.Second
	}
	f.free -= r.Tokens
	f.reserved += r.Tokens
	return nil, 0
}

func (f *fakeRights) Settle(_ string, reserved, used rights.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved -= reserved
	f.free += reserved - used
}

func (f *fakeRights) balance() (free, reserved rights.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.free, f.reserved
}

// fakeLineage implements gateway.Lineage. Streams that it does not know cannot be taken up if
// strict is set.
type fakeLineage struct {
	mu      sync.Mutex
	origins map[string]lineage.Origin
	strict  bool
}

func (f *fakeLineage) Record(stream string, origin lineage.Origin, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origins[stream] = origin
}

func (f *fakeLineage) Resolve(_ context.Context, stream string, _ []string) (lineage.Origin, *failure.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	origin, ok := f.origins[stream]
	if !ok && f.strict {
		return origin, failure.New(failure.NoEndpoint, "", "the origin is not known").WithOutcome(failure.NotRun)
	}
	return origin, nil
}

func (f *fakeLineage) MayBegin(string, string, time.Time) bool { return true }

// countingGuard is a crash guard that counts the reported deaths of endpoints.
type countingGuard struct {
	*quarantine.Tracker
	deaths *atomic.Int64
	traits *traitLog
}

func (g countingGuard) HandleEndpointDeath(string, time.Time) { g.deaths.Add(1) }

func (g countingGuard) CheckTraits(traits []quarantine.Trait, now time.Time) error {
	return g.traits.check(traits, now)
}

func (g countingGuard) RecordInterruption(_ catalog.Endpoint, traits []quarantine.Trait, ending quarantine.Ending) {
	g.traits.record([]string{"interrupted", "reset", "closed"}[ending], traits)
}

func (g countingGuard) RecordSurvival(traits []quarantine.Trait, _ time.Time) {
	g.traits.record("survived", traits)
}

// traitLog records what the gateway reports about traits and refuses those of refusals.
type traitLog struct {
	refusals *quarantine.Refusals

	mu     sync.Mutex
	events []string
}

func (l *traitLog) check(traits []quarantine.Trait, now time.Time) error {
	return l.refusals.Check(traits, now)
}

// record records an event with the parts of the prompt, without the trait of the request.
func (l *traitLog) record(event string, traits []quarantine.Trait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range traits {
		if t <= maxPartOfTests {
			event += fmt.Sprintf(" %x", uint64(t))
		}
	}
	l.events = append(l.events, event)
}

// maxPartOfTests is larger than the IDs of the prompt parts of the tests and lower than
// nearly all other traits.
const maxPartOfTests = 1 << 32

const (
	key             = "key1"
	initialRights   = 10_000
	promptTokens    = 100
	maxOutputTokens = 80
	tokensPerEvent  = 4
)

// testGateway is a gateway with runners as its endpoints.
type testGateway struct {
	t       *testing.T
	runners []*machines.Runner
	rights  *fakeRights
	gateway *gateway.Gateway
	server  *httptest.Server
	client  *http.Client
	doc     *catalog.Document
	pool    *placement.Pool
	retries *gateway.RetryBudget
	second  *hedge.Decider
	sender  *upstream.Client
	dial    func(context.Context, string) (net.Conn, error) // nil: the dialer of upstream.New
	deaths  atomic.Int64
	waitFor gateway.Rights // replaces rights, or nil
	traits  *traitLog
	lineage *fakeLineage
}

// listRefusing replaces the list of endpoints by n that refuse connections, and the runners. No
// other process can get their ports while the test runs.
func (g *testGateway) listRefusing(n int, runners ...*machines.Runner) {
	list := catalog.EndpointList{Revision: 1 << 32}
	add := func(id, address string) {
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: id, Service: "s", Address: address, Domain: "z"})
	}
	for i := range n {
		add(fmt.Sprintf("refusing%d", i), refusingAddress(g.t))
	}
	for _, r := range runners {
		add(r.ID, r.Address())
	}
	g.pool.Update(list, time.Now())
}

// refusingAddress returns the address of a socket that is bound and does not listen.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// newTestGateway starts a gateway and one runner per script. All runners serve the
// same service.
func newTestGateway(t *testing.T, scripts ...machines.Script) *testGateway {
	t.Helper()
	g := &testGateway{t: t, rights: &fakeRights{free: initialRights}, client: &http.Client{Transport: &http.Transport{}},
		traits: &traitLog{refusals: quarantine.NewRefusals(nil)}, lineage: &fakeLineage{origins: map[string]lineage.Origin{}}}
	prepaid := rights.Tokens(initialRights)
	base := catalog.Route{Host: "h.example", Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2,
		Targets: []catalog.Target{{Service: "s", Weight: 1}}}
	route := func(name string, change func(*catalog.Route)) catalog.Route {
		x := base
		x.Name, x.Prefix = name, "/"+name+"/"
		change(&x)
		return x
	}
	g.doc = &catalog.Document{Version: 1, Limits: catalog.Limits{BodyBytes: 1000},
		Services:   []catalog.Service{{Name: "s", Engine: &catalog.Engine{TokensPerEvent: tokensPerEvent}}},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{key}, Prepaid: &prepaid}},
		Routes: []catalog.Route{
			route("book", func(x *catalog.Route) { x.Kind, x.MaxAttempts = catalog.NonRepeatable, 1 }),
			route("look", func(x *catalog.Route) { x.Kind = catalog.Idempotent }),
			route("once", func(x *catalog.Route) { x.Kind, x.MaxAttempts = catalog.Stream, 1 }),
			route("chat", func(x *catalog.Route) { x.Kind, x.Resumable = catalog.Stream, true }),
			route("quick", func(x *catalog.Route) { x.Kind, x.Timeout = catalog.NonRepeatable, 50*time.Millisecond }),
			route("brief", func(x *catalog.Route) { x.Kind, x.Timeout = catalog.NonRepeatable, time.Second }),
			route("open", func(x *catalog.Route) { x.Kind, x.Public = catalog.Idempotent, true }),
		}}
	list := catalog.EndpointList{Revision: 1}
	for i, s := range scripts {
		runner, err := machines.StartRunner("r"+strconv.Itoa(i), s)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(runner.Close)
		g.runners = append(g.runners, runner)
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: runner.ID, Service: "s", Address: runner.Address(), Domain: "z"})
	}
	g.pool = placement.New("z", 1, nil)
	g.pool.Update(list, time.Now())
	g.retries = gateway.NewRetryBudget(0.2, 50, 10*time.Second, func() int { return 1 })
	g.startGateway()
	t.Cleanup(g.client.CloseIdleConnections)
	return g
}

// startGateway starts a gateway with the current fields of g. It replaces an earlier
// one.
func (g *testGateway) startGateway() {
	client := upstream.New()
	if g.dial != nil {
		client = upstream.NewWithDialer(g.dial)
	}
	g.t.Cleanup(client.Close)
	g.sender = client
	log := logrus.New()
	log.SetOutput(io.Discard)
	index := catalog.Index(g.doc)
	var reservations gateway.Rights = g.rights
	if g.waitFor != nil {
		reservations = g.waitFor
	}
	g.gateway = gateway.New(gateway.Options{Codec: platform.Codec{}, Catalog: func() *catalog.Catalog { return index }, Pool: g.pool, Client: client,
		Rights: reservations, CrashGuard: countingGuard{quarantine.New(quarantine.Options{}, nil), &g.deaths, g.traits}, Log: log, RetryBudget: g.retries, SecondAttempts: g.second, Lineage: g.lineage})
	g.server = httptest.NewUnstartedServer(g.gateway)
	g.server.Config.ConnContext = abort.ConnContext
	g.server.Start()
	g.t.Cleanup(g.server.Close)
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
	closed bool // the response closes the connection
}

// newRequest returns a GET request, or a POST request if there is a body. Each of
// headers has the form "Name: value".
func (g *testGateway) newRequest(path, body string, headers ...string) *http.Request {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, g.server.URL+path, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", machines.KeyScheme+key)
	req.Header.Set(machines.HeaderRequestID, "id1")
	req.Header.Set(machines.HeaderDeadline, "1500")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	return req
}

func (g *testGateway) send(req *http.Request) callerResponse {
	resp, err := g.client.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(b), err, resp.Close}
}

// countArrivals returns the number of requests that reached any runner.
func (g *testGateway) countArrivals() int {
	n := 0
	for _, x := range g.runners {
		n += len(x.Requests())
	}
	return n
}

// tokensHeader returns the header line that makes a request metered.
func tokensHeader() string {
	return fmt.Sprintf("%s: %d,%d", machines.HeaderTokens, promptTokens, maxOutputTokens)
}

// eventRange returns the text of the events first to last.
func eventRange(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += machines.Event(i)
	}
	return text
}

// Guards against retrying a request that must run at most once, reporting "not run"
// for a request that may have run, not retrying an idempotent request, and changing
// the status, body or seal of a response.
func TestAttempts(t *testing.T) {
	ok, fails := machines.Answer(200, "whole"), machines.Answer(500, "failed")
	for _, tc := range []struct {
		desc     string
		path     string
		first    machines.Script // of the runner that gets the request first
		status   int
		body     string
		arrivals int
	}{
		{"booking", "/book/1", ok, 200, "whole", 1},
		{"booking that fails", "/book/1", fails, 500, "failed", 1},
		{"booking without a response", "/book/1", machines.Cut, 502, "", 1},
		{"booking that is shed", "/book/1", machines.Shed, 200, "whole", 2},
		{"booking with a truncated response", "/book/1", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Length: 9")+"short")
			return false
		}, 502, "", 1},
		{"lookup that fails", "/look/1", fails, 200, "whole", 2},
		{"lookup without a response", "/look/1", machines.Cut, 200, "whole", 2},
		{"lookup that is shed", "/look/1", machines.Shed, 200, "whole", 2},
		{"lookup with an unsealed success", "/look/1", func(_ *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return err == nil
		}, 200, "whole", 2},
		{"lookup with an encoded body", "/look/1", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, machines.ResponseHead(q, 200, "Content-Encoding: gzip", "Content-Length: 5")+"wrong")
			return err == nil
		}, 200, "whole", 2},
		{"lookup at a moved address", "/look/1", func(_ *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}, 200, "whole", 2},
		{"public lookup", "/open/1", ok, 200, "whole", 1},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var once sync.Once
			script := func(q *http.Request, b []byte, c net.Conn) (keep bool) {
				s := ok
				once.Do(func() { s = tc.first })
				return s(q, b, c)
			}
			g := newTestGateway(t, script, script)
			got := g.send(g.newRequest(tc.path, map[bool]string{true: "body"}[strings.HasPrefix(tc.path, "/book")]))
			if got.err != nil || got.status != tc.status || tc.body != "" && got.body != tc.body || g.countArrivals() != tc.arrivals {
				t.Errorf("status %d, body %q, %v; %d arrivals", got.status, got.body, got.err, g.countArrivals())
			}
			if byGateway := got.header.Get(machines.HeaderSeal) == ""; byGateway != (tc.body == "") {
				t.Errorf("seal %q with status %d", got.header.Get(machines.HeaderSeal), got.status)
			}
		})
	}
}

// Guards against an endpoint that gets more than the remaining time, the ID of
// another endpoint, a workspace other than that of the API key, or the key itself.
func TestForwardedHeader(t *testing.T) {
	g := newTestGateway(t, machines.Answer(200, "x"))
	if got := g.send(g.newRequest("/book/a%2fb?q=1", "body", machines.HeaderTenant+": forged")); got.status != 200 {
		t.Fatalf("status %d", got.status)
	}
	q := g.runners[0].Requests()[0]
	remainingMs, err := strconv.Atoi(q.Header.Get(machines.HeaderDeadline))
	if err != nil || remainingMs > 1500 || remainingMs < 1 {
		t.Errorf("remaining time: %q", q.Header.Get(machines.HeaderDeadline))
	}
	if q.RequestURI != "/book/a%2fb?q=1" || q.Header.Get(machines.HeaderExpectedInstance) != "r0" || q.Header.Get(machines.HeaderTenant) != "w" || q.Header.Get("Authorization") != "" {
		t.Errorf("%s with header %v", q.RequestURI, q.Header)
	}
}

// Guards against refusals with a wrong status, and against a refused request that
// reaches an endpoint or keeps its reservation.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		change func(*testGateway, *http.Request)
		status int
	}{
		{"unknown host", func(_ *testGateway, q *http.Request) { q.Host = "other.example" }, 404},
		{"unknown path", func(_ *testGateway, q *http.Request) { q.URL.Path = "/none/1" }, 404},
		{"unknown key", func(_ *testGateway, q *http.Request) { q.Header.Set("Authorization", machines.KeyScheme+"other") }, 401},
		{"no key", func(_ *testGateway, q *http.Request) { q.Header.Del("Authorization") }, 401},
		{"too few rights", func(g *testGateway, q *http.Request) {
			g.rights.free = promptTokens
			q.Header.Set(machines.HeaderTokens, fmt.Sprintf("%d,%d", promptTokens, maxOutputTokens))
		}, 429},
		{"no endpoint", func(g *testGateway, _ *http.Request) { g.listRefusing(1) }, 503},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := newTestGateway(t, machines.Answer(200, "x"))
			q := g.newRequest("/book/1", "body")
			tc.change(g, q)
			got := g.send(q)
			if got.status != tc.status || g.countArrivals() != 0 || (tc.status == 429 || tc.status == 503) != (got.header.Get("Retry-After") != "") {
				t.Errorf("status %d, %v; %d arrivals; header %v", got.status, got.err, g.countArrivals(), got.header)
			}
			if _, reserved := g.rights.balance(); reserved != 0 {
				t.Errorf("%d tokens are still reserved", reserved)
			}
		})
	}
}

// Guards against a stream with missing or repeated events, an interrupted stream that
// ends like a complete one, and a wrong charge.
func TestStreams(t *testing.T) {
	whole := machines.Stream(1, 5, true)
	resumed := func(q *http.Request, b []byte, c net.Conn) bool {
		after, _ := strconv.Atoi(q.Header.Get(machines.HeaderLastEventID))
		return machines.Stream(after+1, 5, true)(q, b, c)
	}
	for _, tc := range []struct {
		desc          string
		path          string
		first, second machines.Script
		body          string
		whole         bool
		events        int
	}{
		{"whole", "/once/1", whole, nil, eventRange(1, 5), true, 5},
		{"interrupted, not resumable", "/once/1", machines.Stream(1, 2, false), whole, eventRange(1, 2), false, 2},
		{"interrupted, resumed", "/chat/1", machines.Stream(1, 2, false), resumed, eventRange(1, 5), true, 5},
		{"interrupted before the first event, resumable", "/chat/1", machines.Stream(1, 0, false), whole, eventRange(1, 5), true, 5},
		{"second run repeats events", "/chat/1", machines.Stream(1, 2, false), whole, eventRange(1, 5), true, 5},
		{"second run misses an event", "/chat/1", machines.Stream(1, 2, false), machines.Stream(4, 5, true), eventRange(1, 2), false, 2},
		{"interrupted after an event without an ID", "/chat/1", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Transfer-Encoding: chunked")+"9\r\ndata: x\n\n\r\n")
			return false
		}, whole, "data: x\n\n", false, 0},
		{"second run fails", "/chat/1", machines.Stream(1, 2, false), machines.Answer(500, "x"), eventRange(1, 2), false, 2},
		{"second run is interrupted", "/chat/1", machines.Stream(1, 2, false), machines.Stream(3, 4, false), eventRange(1, 4), false, 4},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var mu sync.Mutex
			runs := 0
			script := func(q *http.Request, b []byte, c net.Conn) bool {
				mu.Lock()
				runs++
				s := tc.first
				if runs > 1 {
					s = tc.second
				}
				mu.Unlock()
				return s(q, b, c)
			}
			g := newTestGateway(t, script, script)
			got := g.send(g.newRequest(tc.path, "body", tokensHeader()))
			if got.status != 200 || got.body != tc.body || (got.err == nil) != tc.whole {
				t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
			}
			// The reservation is settled after the end of the response.
			want := rights.Tokens(initialRights - promptTokens - tokensPerEvent*tc.events)
			for {
				free, reserved := g.rights.balance()
				if reserved == 0 {
					if free != want {
						t.Errorf("%d rights remain, want %d", free, want)
					}
					break
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against an error instead of a response that is too large to be buffered, and
// against a truncated one that ends like a complete one.
func TestLargeAnswers(t *testing.T) {
	large := strings.Repeat("x", 5<<20)
	g := newTestGateway(t, machines.Answer(200, large))
	if got := g.send(g.newRequest("/book/1", "body")); got.err != nil || got.body != large {
		t.Errorf("%d bytes, %v", len(got.body), got.err)
	}
	g.runners[0].SetScript(func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.ResponseHead(q, 200, fmt.Sprintf("Content-Length: %d", len(large)))+large[1:])
		return false
	})
	if got := g.send(g.newRequest("/book/1", "body")); got.err == nil {
		t.Errorf("a truncated response of %d bytes ends without an error", len(got.body))
	}
}

// Guards against events that are held back until later ones arrive.
func TestStreamAsItComes(t *testing.T) {
	next := make(chan struct{})
	g := newTestGateway(t, func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		for i := 1; i <= 2; i++ {
			e := machines.Event(i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			<-next
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	resp, err := g.client.Do(g.newRequest("/once/1", "body", tokensHeader()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for i := 1; i <= 2; i++ {
		b := make([]byte, len(machines.Event(i)))
		if _, err := io.ReadFull(resp.Body, b); err != nil || string(b) != machines.Event(i) {
			t.Fatalf("event %d: %q, %v", i, b, err)
		}
		next <- struct{}{}
	}
}

// Guards against a runner that continues after the caller has disconnected, and
// against a non-repeatable request that is cancelled when the caller disconnects.
func TestCallerLeaves(t *testing.T) {
	for _, tc := range []struct {
		path string
		cut  bool
	}{{"/chat/1", true}, {"/look/1", true}, {"/book/1", false}} {
		t.Run(tc.path, func(t *testing.T) {
			arrived, proceed, cut := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			g := newTestGateway(t, func(q *http.Request, b []byte, c net.Conn) bool {
				close(arrived)
				if tc.cut {
					_, err := c.Read(make([]byte, 1))
					cut <- err != nil
					return false
				}
				<-proceed
				cut <- !machines.Answer(200, "x")(q, b, c)
				return false
			})
			ctx, cancel := context.WithCancel(t.Context())
			body := "body"
			if tc.path == "/look/1" {
				body = ""
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = g.send(g.newRequest(tc.path, body).WithContext(ctx))
			}()
			<-arrived
			cancel()
			<-ended
			close(proceed)
			if got := <-cut; got != tc.cut {
				t.Errorf("the run was cancelled: %v", got)
			}
		})
	}
}

// Guards against a caller that waits longer than the timeout of the route.
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	g := newTestGateway(t, func(*http.Request, []byte, net.Conn) bool { <-release; return false })
	got := g.send(g.newRequest("/quick/1", "body"))
	close(release)
	if got.status != 504 {
		t.Errorf("status %d, %v", got.status, got.err)
	}
}

// Guards against retries beyond the budget, which all instances share.
func TestRetryBudget(t *testing.T) {
	b := gateway.NewRetryBudget(0.5, 40, 10*time.Second, func() int { return 4 })
	now := time.Now()
	countAllowed := func() int {
		n := 0
		for b.AllowRetry("s", now) {
			n++
		}
		return n
	}
	if n := countAllowed(); n != 8 { // safetyFactor 0.8 of a quarter of 40
		t.Errorf("%d retries are allowed without requests", n)
	}
	for range 20 {
		b.RecordRequest("s", now)
	}
	if n := countAllowed(); n != 8 { // 0.8 of 0.5 times 20
		t.Errorf("%d more retries are allowed after 20 requests", n)
	}
	now = now.Add(9 * time.Second)
	if n := countAllowed(); n != 0 {
		t.Errorf("%d more retries are allowed within the window", n)
	}
	now = now.Add(2 * time.Second)
	if n := countAllowed(); n != 8 {
		t.Errorf("%d retries are allowed in the next window", n)
	}
}

// Guards against attempts that reach no endpoint and still use up the retry budget.
func TestUnreachedSparesRetryBudget(t *testing.T) {
	g := newTestGateway(t, machines.Answer(200, "whole"))
	g.listRefusing(2, g.runners...)
	g.retries = gateway.NewRetryBudget(0, 0, 10*time.Second, func() int { return 1 })
	g.startGateway()
	for i := range 5 {
		if got := g.send(g.newRequest("/book/1", "body")); got.status != 200 {
			t.Errorf("request %d: status %d", i, got.status)
		}
	}
}

// Guards against requests that are blamed for a crash because their endpoint is
// behind a network partition.
func TestOnlyRefusedConnectionsShowCrashes(t *testing.T) {
	for _, tc := range []struct {
		cause error
		died  bool
	}{{syscall.ECONNREFUSED, true}, {os.ErrDeadlineExceeded, false}, {syscall.EHOSTUNREACH, false}} {
		g := newTestGateway(t, machines.Answer(200, "whole"))
		g.dial = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: tc.cause}
		}
		g.startGateway()
		if got := g.send(g.newRequest("/book/1", "body")); got.status != 503 {
			t.Errorf("%v: status %d", tc.cause, got.status)
		}
		if died := g.deaths.Load() > 0; died != tc.died {
			t.Errorf("%v: reported as the death of the process: %v", tc.cause, died)
		}
	}
}

// Guards against a request that is taken after the drain, when nobody waits for its end.
func TestRequestAfterDrainIsRefused(t *testing.T) {
	g := newTestGateway(t, machines.Answer(200, "whole"))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := g.gateway.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	if late := g.send(g.newRequest("/brief/1", "body")); late.status != 503 || !strings.Contains(late.body, "not-run") || len(g.runners[0].Requests()) > 0 {
		t.Errorf("request after the drain: %+v", late)
	}
}

// Guards against requests that are cut off without an answer at the end of the shutdown timeout.
func TestRequestsAtEndOfDrainAreAnswered(t *testing.T) {
	arrived := make(chan struct{})
	release := make(chan struct{})
	g := newTestGateway(t, func(*http.Request, []byte, net.Conn) bool {
		close(arrived)
		<-release
		return false
	})
	defer close(release)
	got := make(chan callerResponse)
	go func() { got <- g.send(g.newRequest("/book/1", "body")) }()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := g.gateway.Drain(ctx); err == nil {
		t.Error("drained with a request in flight")
	}
	select {
	case a := <-got:
		if a.status != 504 || !strings.Contains(a.body, "unknown") {
			t.Errorf("request in flight at the end: %+v", a)
		}
	case <-time.After(time.Second):
		t.Error("no answer after the end of the drain")
	}
}

// Guards against a drain that interrupts a request in flight, accepts one that may
// not complete in time, or refuses one whose deadline is before the end of the drain.
func TestDrain(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	g := newTestGateway(t, func(q *http.Request, b []byte, c net.Conn) bool {
		if runs.Add(1) == 1 {
			close(arrived)
			<-proceed
		}
		return machines.Answer(200, "whole")(q, b, c)
	})
	got := make(chan callerResponse)
	go func() { got <- g.send(g.newRequest("/book/1", "body")) }()
	<-arrived
	g.gateway.DisableKeepAlives()
	ctx, cancel := context.WithTimeout(t.Context(), 1400*time.Millisecond)
	defer cancel()
	drained := make(chan error)
	go func() { drained <- g.gateway.Drain(ctx) }()
	for {
		late := g.send(g.newRequest("/book/1", "body"))
		if late.status == 200 {
			continue // the drain has not begun
		}
		if late.status != 503 || !late.closed || !strings.Contains(late.body, "not-run") {
			t.Errorf("request with a deadline after the drain: %+v", late)
		}
		break
	}
	if short := g.send(g.newRequest("/brief/1", "body")); short.status != 200 {
		t.Errorf("request with a deadline before the end of the drain: %+v", short)
	}
	close(proceed)
	if a := <-got; a.err != nil || a.body != "whole" {
		t.Errorf("request in flight: %+v", a)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
