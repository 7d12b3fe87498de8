package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// Rights sets aside and settles what requests cost.
type Rights interface {
	// Reserve waits for rights until ctx ends.
	Reserve(ctx context.Context, workspace string, most rights.Tokens) *failure.Error
	// Settle ends a reservation.
	Settle(workspace string, reserved, used rights.Tokens)
}

// Options hold what a Gateway consumes. All fields are required but Registerer.
type Options struct {
	Codec       Codec
	Catalog     func() *catalog.Catalog
	Pool        *placement.Pool
	Client      *upstream.Client
	Rights      Rights
	CrashGuard  CrashGuard
	RetryBudget *RetryBudget
	Log         logrus.FieldLogger
	Registerer  prometheus.Registerer
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	metrics *metrics

	mu       sync.Mutex
	closing  bool      // answers close their connections
	closed   bool      // new requests are refused unless they end before closeAt
	closeAt  time.Time // end of the drain
	inFlight int
	empty    chan struct{} // closed when a closed gateway has no request left
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway.
func New(opts Options) *Gateway {
	return &Gateway{opts: opts, metrics: newMetrics(opts.Registerer)}
}

// DisableKeepAlives makes callers give up their open connections with the next answer.
func (g *Gateway) DisableKeepAlives() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
}

// Drain waits for the open requests until ctx ends. A new request is refused
// unless its time ends before that: callers on open connections, and a balancer
// without another choice, still send some.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.closing, g.closed = true, true
	g.closeAt, _ = ctx.Deadline()
	if g.empty == nil {
		g.empty = make(chan struct{})
		if g.inFlight == 0 {
			close(g.empty)
		}
	}
	empty := g.empty
	g.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of open requests.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// enter counts a request. A closed gateway counts it too until it is refused.
func (g *Gateway) enter() (closing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
	return g.closing
}

// takes reports whether a request that ends at the deadline may still run.
func (g *Gateway) takes(deadline time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed || deadline.Before(g.closeAt)
}

func (g *Gateway) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.closed && g.inFlight == 0 {
		select {
		case <-g.empty:
		default:
			close(g.empty)
		}
	}
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	closing := g.enter()
	defer g.leave()
	if closing {
		w.Header().Set("Connection", "close")
	}
	q := &request{g: g, w: w, r: r, arrived: time.Now()}
	defer q.log()
	if err, after := q.prepare(); err != nil {
		q.refuse(err, after)
		return
	}
	if !g.takes(q.deadline) {
		q.refuse(notRun(failure.NotReady, "send it to another instance", "the instance is stopping"), againSoon)
		return
	}
	q.serve()
}

const (
	// againSoon is the time after which a request that another instance can take
	// at once may come back.
	againSoon = 50 * time.Millisecond
	// againLater is the mean time after which a request may come back that found
	// no endpoint or no rights.
	againLater = 400 * time.Millisecond
)
