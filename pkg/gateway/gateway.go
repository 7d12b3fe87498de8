package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/hedge"
	"github.com/clementinerack/clementinerack/pkg/lineage"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// Rights reserves and settles the tokens that requests may use.
type Rights interface {
	// Reserve makes a reservation. It waits while enough rights are expected in time and ctx
	// has not ended. If it fails, the caller may come back after retryAfter.
	Reserve(ctx context.Context, r Reservation) (err *failure.Error, retryAfter time.Duration)
	// Settle ends a reservation, charges the used tokens and returns the rest.
	Settle(workspace string, reserved, used rights.Tokens)
}

// Reservation is the reservation of rights for a request.
type Reservation struct {
	Workspace string
	Tokens    rights.Tokens
	// Priority is the urgency of the request. A lower value is served first.
	Priority int
	admission.Patience
}

// Lineage knows which software versions began the streams of resumable routes.
type Lineage interface {
	// Record records that an endpoint sends events of a stream. It is called before the
	// caller gets an event.
	Record(stream string, origin lineage.Origin, now time.Time)
	// Resolve returns where a stream may go on, with empty fields if any endpoint of its
	// route's services will do. It fails if that is not known for certain.
	Resolve(ctx context.Context, stream string, services []string) (lineage.Origin, *failure.Error)
	// MayBegin reports whether streams may begin at a software version of a service although
	// other versions serve.
	MayBegin(service, version string, now time.Time) bool
}

// Options are the dependencies of a Gateway. All fields are required except
// Registerer and SecondAttempts, without which there are none. Catalog returns nil until the first declarations are known.
type Options struct {
	Codec       Codec
	Catalog     func() *catalog.Catalog
	Pool        *placement.Pool
	Client      *upstream.Client
	Rights      Rights
	CrashGuard  CrashGuard
	Lineage     Lineage
	RetryBudget *RetryBudget
	// SecondAttempts decides on second attempts of requests whose first one is slow.
	SecondAttempts *hedge.Decider
	Log            logrus.FieldLogger
	Registerer     prometheus.Registerer
}

// Gateway is an http.Handler that forwards requests to endpoints. It is safe for
// concurrent use.
type Gateway struct {
	opts    Options
	metrics *metrics

	mu                 sync.Mutex
	keepAlivesDisabled bool      // responses close their connections
	draining           bool      // new requests are refused unless their deadline is before drainDeadline
	drainDeadline      time.Time // deadline of the context of Drain
	inFlight           int
	isDrained          bool          // Drain has ended or is about to: all requests are refused
	drained            chan struct{} // closed when a draining gateway has no request in flight
	aborted            context.Context
	abort              context.CancelFunc // ends the requests that are in flight at the end of Drain
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway that accepts requests.
func New(opts Options) *Gateway {
	if opts.SecondAttempts == nil {
		opts.SecondAttempts = hedge.New(nil, 0)
	}
	g := &Gateway{opts: opts, metrics: newMetrics(opts.Registerer, opts.Client)}
	g.aborted, g.abort = context.WithCancel(context.Background())
	return g
}

// DisableKeepAlives makes each further response close its connection, so that
// callers reconnect to another instance.
func (g *Gateway) DisableKeepAlives() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keepAlivesDisabled = true
}

// abortTimeout bounds the time in which aborted requests are answered.
const abortTimeout = 100 * time.Millisecond

// Drain disables keep-alives and waits until no request is in flight. If ctx ends
// first, it aborts those requests, so that their callers get an answer that says whether
// they may have run, and returns the error of ctx. New requests are refused unless their
// deadline is before that of ctx; those are still served because callers on open
// connections, and a load balancer without another instance, keep sending some. Once
// no request is in flight, all are refused.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.keepAlivesDisabled, g.draining = true, true
	g.drainDeadline, _ = ctx.Deadline()
	if g.drained == nil {
		g.drained = make(chan struct{})
		g.endDrainIfIdle()
	}
	drained := g.drained
	g.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.isDrained = true
	g.mu.Unlock()
	g.abort()
	select {
	case <-drained:
	case <-time.After(abortTimeout):
	}
	return ctx.Err()
}

// endDrainIfIdle ends Drain if no request is in flight. g.mu must be held.
func (g *Gateway) endDrainIfIdle() {
	if g.inFlight > 0 {
		return
	}
	g.isDrained = true
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// beginRequest counts a request as in flight, also one that a draining gateway will
// refuse, and reports whether its response must close the connection.
func (g *Gateway) beginRequest() (keepAlivesDisabled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
	return g.keepAlivesDisabled
}

// canAccept reports whether a request with the given deadline may run.
func (g *Gateway) canAccept(deadline time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining || !g.isDrained && deadline.Before(g.drainDeadline)
}

// endRequest ends the count of a request and reports the end of a drain.
func (g *Gateway) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.draining {
		g.endDrainIfIdle()
	}
}

// ServeHTTP implements http.Handler. A response that is not completed is aborted at the end.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := abort.NewWriter(w, r)
	defer response.End()
	keepAlivesDisabled := g.beginRequest()
	defer g.endRequest()
	if keepAlivesDisabled {
		response.Header().Set("Connection", "close")
	}
	q := &request{g: g, w: response, r: r, arrived: time.Now()}
	defer q.recordResult()
	if err, retryAfter := q.prepare(); err != nil {
		q.refuse(err, retryAfter)
		return
	}
	if !g.canAccept(q.deadline) {
		q.refuse(newStoppingError(), otherInstanceRetryDelay)
		return
	}
	q.serve()
}

const (
	// otherInstanceRetryDelay is the retry delay for a refused request that another
	// instance can serve at once.
	otherInstanceRetryDelay = 50 * time.Millisecond
	// meanRetryDelay is the mean retry delay for a request that was refused because
	// no endpoint or too few rights were available; jitter spreads it. It is the exact
	// delay if there were no declarations.
	meanRetryDelay = 400 * time.Millisecond
)
