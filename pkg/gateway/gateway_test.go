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

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/upstream"
	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// purse holds rights without any store.
type purse struct {
	mu             sync.Mutex
	free, reserved rights.Tokens
}

func (p *purse) Reserve(_ context.Context, _ string, most rights.Tokens) *failure.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free < most {
		return failure.New(failure.Limited, "", "too few").WithOutcome(failure.NotRun)
	}
	p.free -= most
	p.reserved += most
	return nil
}

func (p *purse) Settle(_ string, reserved, used rights.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved -= reserved
	p.free += reserved - used
}

func (p *purse) state() (free, reserved rights.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free, p.reserved
}

// guard counts the reported ends of endpoints.
type guard struct {
	*quarantine.Tracker
	died *atomic.Int64
}

func (g guard) Died(string, time.Time) { g.died.Add(1) }

const (
	key       = "key1"
	initially = 10_000 // rights
	prompt    = 100
	output    = 80
	perEvent  = 4
)

// rig is a gateway with runners behind it.
type rig struct {
	t       *testing.T
	runners []*machines.Runner
	purse   *purse
	gateway *gateway.Gateway
	server  *httptest.Server
	client  *http.Client
	doc     *catalog.Document
	pool    *placement.Pool
	retries *gateway.RetryBudget
	dial    func(context.Context, string) (net.Conn, error) // nil: the usual one
	died    atomic.Int64
}

// newRig starts a runner for each script. All serve the same service.
func newRig(t *testing.T, scripts ...machines.Script) *rig {
	t.Helper()
	r := &rig{t: t, purse: &purse{free: initially}, client: &http.Client{Transport: &http.Transport{}}}
	prepaid := int64(initially)
	base := catalog.Route{Host: "h.example", Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2,
		Targets: []catalog.Target{{Service: "s", Weight: 1}}}
	route := func(name string, change func(*catalog.Route)) catalog.Route {
		x := base
		x.Name, x.Prefix = name, "/"+name+"/"
		change(&x)
		return x
	}
	r.doc = &catalog.Document{Version: 1, Limits: catalog.Limits{BodyBytes: 1000},
		Services:   []catalog.Service{{Name: "s", Engine: &catalog.Engine{TokensPerEvent: perEvent}}},
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
		n, err := machines.StartRunner("r"+strconv.Itoa(i), s)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		r.runners = append(r.runners, n)
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: n.ID, Service: "s", Address: n.Address(), Domain: "z"})
	}
	r.pool = placement.New("z", 1)
	r.pool.Update(list)
	r.retries = gateway.NewRetryBudget(0.2, 50, 10*time.Second, func() int { return 1 })
	r.build()
	t.Cleanup(r.client.CloseIdleConnections)
	return r
}

// build starts the gateway, and replaces an earlier one.
func (r *rig) build() {
	client := upstream.New()
	if r.dial != nil {
		client = upstream.NewWithDialer(r.dial)
	}
	r.t.Cleanup(client.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	index := catalog.Index(r.doc)
	r.gateway = gateway.New(gateway.Options{Codec: platform.Codec{}, Catalog: func() *catalog.Catalog { return index }, Pool: r.pool, Client: client,
		Rights: r.purse, CrashGuard: guard{quarantine.New(quarantine.Options{}, nil), &r.died}, Log: log, RetryBudget: r.retries})
	r.server = httptest.NewServer(r.gateway)
	r.t.Cleanup(r.server.Close)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	closed bool // the connection ends with the answer
}

func (r *rig) request(path, body string, headers ...string) *http.Request {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", machines.KeyScheme+key)
	req.Header.Set(machines.HeaderRequest, "id1")
	req.Header.Set(machines.HeaderDeadline, "1500")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	return req
}

func (r *rig) send(req *http.Request) reply {
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), err, resp.Close}
}

func (r *rig) arrivals() int {
	n := 0
	for _, x := range r.runners {
		n += len(x.Requests())
	}
	return n
}

func metered() string {
	return fmt.Sprintf("%s: %d,%d", machines.HeaderTokens, prompt, output)
}

func events(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += machines.Event(i)
	}
	return text
}

// Guards against a repetition of what may not run twice, a refusal "not run" of
// what may have run, a lookup that is not tried elsewhere, and a status, body or
// seal that is changed.
func TestAttempts(t *testing.T) {
	ok, fails := machines.Answer(200, "whole"), machines.Answer(500, "failed")
	for _, tc := range []struct {
		desc     string
		path     string
		first    machines.Script // of whichever runner gets the request first
		status   int
		body     string
		arrivals int
	}{
		{"booking", "/book/1", ok, 200, "whole", 1},
		{"booking that fails", "/book/1", fails, 500, "failed", 1},
		{"booking without an answer", "/book/1", machines.Cut, 502, "", 1},
		{"booking that is shed", "/book/1", machines.Shed, 200, "whole", 2},
		{"booking with a broken answer", "/book/1", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.Head(q, 200, "Content-Length: 9")+"short")
			return false
		}, 502, "", 1},
		{"lookup that fails", "/look/1", fails, 200, "whole", 2},
		{"lookup without an answer", "/look/1", machines.Cut, 200, "whole", 2},
		{"lookup that is shed", "/look/1", machines.Shed, 200, "whole", 2},
		{"lookup with an unsealed success", "/look/1", func(_ *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return err == nil
		}, 200, "whole", 2},
		{"lookup with an encoded body", "/look/1", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, machines.Head(q, 200, "Content-Encoding: gzip", "Content-Length: 5")+"wrong")
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
			r := newRig(t, script, script)
			got := r.send(r.request(tc.path, map[bool]string{true: "body"}[strings.HasPrefix(tc.path, "/book")]))
			if got.err != nil || got.status != tc.status || tc.body != "" && got.body != tc.body || r.arrivals() != tc.arrivals {
				t.Errorf("status %d, body %q, %v; %d arrivals", got.status, got.body, got.err, r.arrivals())
			}
			if own := got.header.Get(machines.HeaderSeal) == ""; own != (tc.body == "") {
				t.Errorf("seal %q with status %d", got.header.Get(machines.HeaderSeal), got.status)
			}
		})
	}
}

// Guards against an endpoint that gets more than the time that is left, another
// endpoint's name, or not the workspace of the key.
func TestForwardedHeader(t *testing.T) {
	r := newRig(t, machines.Answer(200, "x"))
	if got := r.send(r.request("/book/a%2fb?q=1", "body", machines.HeaderTenant+": forged")); got.status != 200 {
		t.Fatalf("status %d", got.status)
	}
	q := r.runners[0].Requests()[0]
	left, err := strconv.Atoi(q.Header.Get(machines.HeaderDeadline))
	if err != nil || left > 1500 || left < 1 {
		t.Errorf("time left: %q", q.Header.Get(machines.HeaderDeadline))
	}
	if q.RequestURI != "/book/a%2fb?q=1" || q.Header.Get(machines.HeaderExpect) != "r0" || q.Header.Get(machines.HeaderTenant) != "w" || q.Header.Get("Authorization") != "" {
		t.Errorf("%s with header %v", q.RequestURI, q.Header)
	}
}

// Guards against wrong refusals, and against a refused request that reaches an
// endpoint.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		change func(*rig, *http.Request)
		status int
	}{
		{"unknown host", func(_ *rig, q *http.Request) { q.Host = "other.example" }, 404},
		{"unknown path", func(_ *rig, q *http.Request) { q.URL.Path = "/none/1" }, 404},
		{"unknown key", func(_ *rig, q *http.Request) { q.Header.Set("Authorization", machines.KeyScheme+"other") }, 401},
		{"no key", func(_ *rig, q *http.Request) { q.Header.Del("Authorization") }, 401},
		{"too few rights", func(r *rig, q *http.Request) {
			r.purse.free = prompt
			q.Header.Set(machines.HeaderTokens, fmt.Sprintf("%d,%d", prompt, output))
		}, 429},
		{"no endpoint", func(r *rig, _ *http.Request) { r.runners[0].Close() }, 503},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := newRig(t, machines.Answer(200, "x"))
			q := r.request("/book/1", "body")
			tc.change(r, q)
			got := r.send(q)
			if got.status != tc.status || r.arrivals() != 0 || (tc.status == 429 || tc.status == 503) != (got.header.Get("Retry-After") != "") {
				t.Errorf("status %d, %v; %d arrivals; header %v", got.status, got.err, r.arrivals(), got.header)
			}
			if _, reserved := r.purse.state(); reserved != 0 {
				t.Errorf("%d tokens stay reserved", reserved)
			}
		})
	}
}

// Guards against a stream with missing or repeated events, one that ends like a
// whole one although it broke off, and a wrong charge.
func TestStreams(t *testing.T) {
	whole := machines.Stream(1, 5, true)
	resumed := func(q *http.Request, b []byte, c net.Conn) bool {
		after, _ := strconv.Atoi(q.Header.Get(machines.HeaderLastEvent))
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
		{"whole", "/once/1", whole, nil, events(1, 5), true, 5},
		{"breaks off, not resumable", "/once/1", machines.Stream(1, 2, false), whole, events(1, 2), false, 2},
		{"breaks off, resumed", "/chat/1", machines.Stream(1, 2, false), resumed, events(1, 5), true, 5},
		{"breaks off before the first event, resumable", "/chat/1", machines.Stream(1, 0, false), whole, events(1, 5), true, 5},
		{"second run repeats events", "/chat/1", machines.Stream(1, 2, false), whole, events(1, 5), true, 5},
		{"second run misses an event", "/chat/1", machines.Stream(1, 2, false), machines.Stream(4, 5, true), events(1, 2), false, 2},
		{"events without ids break off", "/chat/1", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.Head(q, 200, "Transfer-Encoding: chunked")+"9\r\ndata: x\n\n\r\n")
			return false
		}, whole, "data: x\n\n", false, 0},
		{"second run fails", "/chat/1", machines.Stream(1, 2, false), machines.Answer(500, "x"), events(1, 2), false, 2},
		{"second run breaks off", "/chat/1", machines.Stream(1, 2, false), machines.Stream(3, 4, false), events(1, 4), false, 4},
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
			r := newRig(t, script, script)
			got := r.send(r.request(tc.path, "body", metered()))
			if got.status != 200 || got.body != tc.body || (got.err == nil) != tc.whole {
				t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
			}
			// The charge follows the end of the answer.
			want := rights.Tokens(initially - prompt - perEvent*tc.events)
			for {
				free, reserved := r.purse.state()
				if reserved == 0 {
					if free != want {
						t.Errorf("%d rights are left, want %d", free, want)
					}
					break
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against a large answer that is refused although it arrived, and against
// one that ends like a whole one although it broke off.
func TestLargeAnswers(t *testing.T) {
	large := strings.Repeat("x", 5<<20)
	r := newRig(t, machines.Answer(200, large))
	if got := r.send(r.request("/book/1", "body")); got.err != nil || got.body != large {
		t.Errorf("%d bytes, %v", len(got.body), got.err)
	}
	r.runners[0].SetScript(func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.Head(q, 200, fmt.Sprintf("Content-Length: %d", len(large)))+large[1:])
		return false
	})
	if got := r.send(r.request("/book/1", "body")); got.err == nil {
		t.Errorf("a broken answer of %d bytes passes for a whole one", len(got.body))
	}
}

// Guards against events that wait for later ones.
func TestStreamAsItComes(t *testing.T) {
	next := make(chan struct{})
	r := newRig(t, func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.Head(q, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		for i := 1; i <= 2; i++ {
			e := machines.Event(i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			<-next
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	resp, err := r.client.Do(r.request("/once/1", "body", metered()))
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

// Guards against a runner that works on after its caller has left, and against a
// booking that is broken off because its caller left.
func TestCallerLeaves(t *testing.T) {
	for _, tc := range []struct {
		path string
		cut  bool
	}{{"/chat/1", true}, {"/look/1", true}, {"/book/1", false}} {
		t.Run(tc.path, func(t *testing.T) {
			arrived, proceed, cut := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			r := newRig(t, func(q *http.Request, b []byte, c net.Conn) bool {
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
				_ = r.send(r.request(tc.path, body).WithContext(ctx))
			}()
			<-arrived
			cancel()
			<-ended
			close(proceed)
			if got := <-cut; got != tc.cut {
				t.Errorf("the run was cut: %v", got)
			}
		})
	}
}

// Guards against a caller that is kept waiting beyond the time of the route.
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, func(*http.Request, []byte, net.Conn) bool { <-release; return false })
	got := r.send(r.request("/quick/1", "body"))
	close(release)
	if got.status != 504 {
		t.Errorf("status %d, %v", got.status, got.err)
	}
}

// Guards against repetitions beyond the budget, which is shared by all instances.
func TestRetryBudget(t *testing.T) {
	b := gateway.NewRetryBudget(0.5, 40, 10*time.Second, func() int { return 4 })
	now := time.Now()
	count := func() int {
		n := 0
		for b.AllowRetry("s", now) {
			n++
		}
		return n
	}
	if n := count(); n != 8 { // 0.8 of a fourth of 40
		t.Errorf("%d repetitions without requests", n)
	}
	for range 20 {
		b.RecordRequest("s", now)
	}
	if n := count(); n != 8 { // 0.8 of half of 20
		t.Errorf("%d more repetitions after 20 requests", n)
	}
	now = now.Add(9 * time.Second)
	if n := count(); n != 0 {
		t.Errorf("%d repetitions within the window", n)
	}
	now = now.Add(2 * time.Second)
	if n := count(); n != 8 {
		t.Errorf("%d repetitions in the next window", n)
	}
}

// Guards against repetitions that are counted although no endpoint was reached.
func TestUnreachedSparesRetryBudget(t *testing.T) {
	r := newRig(t, machines.Answer(200, "whole"), machines.Answer(200, "whole"), machines.Answer(200, "whole"))
	r.runners[0].Close()
	r.runners[1].Close()
	r.retries = gateway.NewRetryBudget(0, 0, 10*time.Second, func() int { return 1 })
	r.build()
	for i := range 5 {
		if got := r.send(r.request("/book/1", "body")); got.status != 200 {
			t.Errorf("request %d: status %d", i, got.status)
		}
	}
}

// Guards against requests that are taken for the cause of a crash because their
// endpoint is behind a cut.
func TestOnlyRefusedConnectionsShowCrashes(t *testing.T) {
	for _, tc := range []struct {
		cause error
		died  bool
	}{{syscall.ECONNREFUSED, true}, {os.ErrDeadlineExceeded, false}, {syscall.EHOSTUNREACH, false}} {
		r := newRig(t, machines.Answer(200, "whole"))
		r.dial = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: tc.cause}
		}
		r.build()
		if got := r.send(r.request("/book/1", "body")); got.status != 503 {
			t.Errorf("%v: status %d", tc.cause, got.status)
		}
		if died := r.died.Load() > 0; died != tc.died {
			t.Errorf("%v: counts as the end of the process: %v", tc.cause, died)
		}
	}
}

// Guards against a stop that cuts an open request, that takes one which it may
// not be able to finish, or that refuses one which ends in time.
func TestDrain(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	r := newRig(t, func(q *http.Request, b []byte, c net.Conn) bool {
		if runs.Add(1) == 1 {
			close(arrived)
			<-proceed
		}
		return machines.Answer(200, "whole")(q, b, c)
	})
	got := make(chan reply)
	go func() { got <- r.send(r.request("/book/1", "body")) }()
	<-arrived
	r.gateway.DisableKeepAlives()
	ctx, cancel := context.WithTimeout(t.Context(), 1400*time.Millisecond)
	defer cancel()
	drained := make(chan error)
	go func() { drained <- r.gateway.Drain(ctx) }()
	for {
		late := r.send(r.request("/book/1", "body"))
		if late.status == 200 {
			continue // the drain has not begun
		}
		if late.status != 503 || !late.closed || !strings.Contains(late.body, "not-run") {
			t.Errorf("late request: %+v", late)
		}
		break
	}
	if short := r.send(r.request("/brief/1", "body")); short.status != 200 {
		t.Errorf("request that ends in time: %+v", short)
	}
	close(proceed)
	if a := <-got; a.err != nil || a.body != "whole" {
		t.Errorf("open request: %+v", a)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
