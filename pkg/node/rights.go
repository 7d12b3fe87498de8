package node

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

const (
	// maxWaiting bounds the requests that wait for rights of one workspace at one instance.
	maxWaiting = 256
	// outageAskFactor is the multiple of the missing rights that are asked of other instances
	// while none of them reaches the store, so that the next requests of the workspace find
	// free rights at once.
	outageAskFactor = 4
	// searchTimeout bounds one search of the store and the other instances.
	searchTimeout = 500 * time.Millisecond
	// searchPause is the time after a search that found too little, or for which no request
	// waited, until the next one.
	searchPause = 50 * time.Millisecond
	// reserveHorizon is how long the free rights should cover the demand of this instance. If
	// they do not, it searches for more before requests have to wait.
	reserveHorizon = 250 * time.Millisecond
	// searchRetryDelay is the time after a failed search during which requests wait only for
	// rights that are about to be settled, unless the store has some.
	searchRetryDelay = 400 * time.Millisecond
	// storeTimeout is how long the first supplier waits for rights from the store, which answers
	// within milliseconds, before it asks the other instances.
	storeTimeout = 30 * time.Millisecond
	// initialSupplyDelay is the expected time until a search has brought rights from the store
	// before there is experience.
	initialSupplyDelay = 100 * time.Millisecond
	// releaseWindow is the window of the rate at which settlements free rights. Most streams
	// end within it.
	releaseWindow = 2 * time.Second
	// meanReturnDelay is the mean delay after which refused callers come back if no moment is
	// known at which they will be served.
	meanReturnDelay = 400 * time.Millisecond
)

// reserver implements gateway.Rights: it reserves rights that this instance holds. While they
// are insufficient, requests wait in order, and a search gets more from the store or other
// instances.
type reserver struct {
	book            *rights.Book
	syncer          *rights.Syncer
	exchange        *rights.Exchange
	isFirstSupplier func(workspace string) bool // whether this instance is the first supplier
	log             logrus.FieldLogger
	waits           *prometheus.CounterVec

	running  sync.WaitGroup // of serve and search
	stopping context.Context
	stop     context.CancelFunc

	mu    sync.Mutex
	lines map[string]*line // by workspace
}

// line holds the requests that wait for rights of one workspace.
type line struct {
	queue       *admission.Queue[chan error] // receives nil when rights are reserved, or why they are not
	settled     admission.Rate               // tokens of the reservations that have ended
	released    admission.Rate               // those of them that were not used
	supplyDelay admission.Mean               // of successful searches
	returns     admission.Returns
	isServed    bool          // a goroutine runs serve
	changed     chan struct{} // wakes serve after a change of the queue
	searchSince time.Time     // when the first of the searches without success began, or zero
	failedAt    time.Time     // when the latest search failed of which the store was no part
}

// newReserver returns a reserver of the rights in book.
func newReserver(book *rights.Book, syncer *rights.Syncer, exchange *rights.Exchange, isFirstSupplier func(string) bool, log logrus.FieldLogger, reg prometheus.Registerer) *reserver {
	stopping, stop := context.WithCancel(context.Background())
	return &reserver{book: book, syncer: syncer, exchange: exchange, isFirstSupplier: isFirstSupplier, log: log, stopping: stopping, stop: stop, lines: map[string]*line{},
		waits: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_rights_waits_total",
			Help: "Number of requests that found too few free rights, by result: served after a wait, refused at once, refused after a wait, or left."}, []string{"result"})}
}

// Stop ends all searches and returns when none changes the book any more.
func (r *reserver) Stop() {
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.running.Wait()
}

// start has a goroutine serve a line, unless one does or the reserver is stopped. r.mu must be
// held.
func (r *reserver) start(l *line, workspace string) {
	if !l.isServed && r.stopping.Err() == nil {
		l.isServed = true
		r.running.Go(func() { r.serve(l, workspace) })
	}
}

// line returns the line of a workspace and creates it if necessary. r.mu must be held.
func (r *reserver) line(workspace string) *line {
	l := r.lines[workspace]
	if l == nil {
		l = &line{queue: admission.NewQueue[chan error](maxWaiting), settled: admission.NewRate(releaseWindow), released: admission.NewRate(releaseWindow), changed: make(chan struct{}, 1)}
		r.lines[workspace] = l
	}
	return l
}

// Reserve implements gateway.Rights.
func (r *reserver) Reserve(ctx context.Context, req gateway.Reservation) (*failure.Error, time.Duration) {
	now := time.Now()
	r.book.RecordDemand(req.Workspace, req.Tokens, now)
	claim := admission.Claim{Group: req.Workspace, Priority: req.Priority, Units: float64(req.Tokens), Deadline: req.Deadline}
	r.mu.Lock()
	l := r.line(req.Workspace)
	if l.queue.Len() == 0 && r.book.Reserve(req.Workspace, req.Tokens) {
		if now.Sub(l.failedAt) >= searchRetryDelay && r.lacking(req.Workspace, now) > 0 {
			r.start(l, req.Workspace)
		}
		r.mu.Unlock()
		return nil, 0
	}
	supply := r.supply(l, req.Workspace, now)
	if now.Sub(l.failedAt) < searchRetryDelay {
		req.Trial = 0
	}
	until, ok := admission.Decide(now, supply.Wait(l.queue.Ahead(claim), claim.Units), req.Patience)
	if !ok {
		defer r.mu.Unlock()
		r.waits.WithLabelValues("refused at once").Inc()
		return r.insufficientError(req, now), r.returnDelay(l, claim, req.Workspace, now)
	}
	done := make(chan error, 1)
	entry, evicted, ok := l.queue.Push(claim, done)
	if !ok {
		defer r.mu.Unlock()
		r.waits.WithLabelValues("refused at once").Inc()
		return newQueueFullError(req), r.returnDelay(l, claim, req.Workspace, now)
	}
	if evicted != nil {
		evicted.Value <- newQueueFullError(req)
	}
	r.book.SetWaiting(req.Workspace, tokens.FromFloat(l.queue.Units()))
	r.start(l, req.Workspace)
	l.wake()
	r.mu.Unlock()
	err, retryAfter := r.await(ctx, l, entry, req, until)
	return err, retryAfter
}

// await waits until an entry of a line is served or gives up its place.
func (r *reserver) await(ctx context.Context, l *line, entry *admission.Entry[chan error], req gateway.Reservation, until time.Time) (*failure.Error, time.Duration) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	var result error
	for isWaiting := true; isWaiting; {
		select {
		case result = <-entry.Value:
			isWaiting = false
		case <-timer.C:
			r.dispatch(l, req.Workspace)
			if len(entry.Value) > 0 {
				continue
			}
			result = errNoSupply
			if until, isWaiting = r.extend(l, entry, req); isWaiting {
				timer.Reset(time.Until(until))
			}
		case <-ctx.Done():
			result, isWaiting = ctx.Err(), false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if l.queue.Remove(entry) {
		r.book.SetWaiting(req.Workspace, tokens.FromFloat(l.queue.Units()))
		l.wake()
	} else if len(entry.Value) > 0 {
		result = <-entry.Value // it was served or refused meanwhile
	}
	switch {
	case result == nil:
		r.waits.WithLabelValues("served").Inc()
		return nil, 0
	case ctx.Err() != nil:
		r.waits.WithLabelValues("left").Inc()
	default:
		r.waits.WithLabelValues("refused").Inc()
	}
	if failure.Is(result, failure.Limited) {
		return failure.From(result), r.returnDelay(l, entry.Claim, req.Workspace, now)
	}
	return r.insufficientError(req, now), r.returnDelay(l, entry.Claim, req.Workspace, now)
}

// extend returns until when an entry waits on, or false if it is no longer expected to be served
// in time.
func (r *reserver) extend(l *line, entry *admission.Entry[chan error], req gateway.Reservation) (until time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	patience := req.Patience
	patience.Trial = 0
	wait := r.supply(l, req.Workspace, now).Wait(l.queue.UnitsBefore(entry), entry.Units)
	if wait == 0 {
		return now, false // the free rights cannot be reserved, because the workspace is frozen
	}
	return admission.Decide(now, wait, patience)
}

// wake wakes serve.
func (l *line) wake() {
	select {
	case l.changed <- struct{}{}:
	default: // it is awake already
	}
}

// serve gives the rights of a workspace to the requests of its line until none waits, and
// searches for more meanwhile.
func (r *reserver) serve(l *line, workspace string) {
	searched := make(chan struct{}, 1)
	isSearching := false
	for isFirst := true; ; isFirst = false {
		changed := r.book.Changed(workspace)
		isWaiting := r.dispatch(l, workspace)
		if !isSearching && (isWaiting || isFirst) {
			isSearching = true
			r.running.Go(func() {
				r.search(l, workspace)
				searched <- struct{}{}
			})
		}
		if !isSearching && r.endIfEmpty(l) {
			return
		}
		select {
		case <-changed:
		case <-l.changed:
		case <-r.stopping.Done():
			return
		case <-searched:
			isSearching = false
		}
	}
}

// endIfEmpty records that nobody serves the line any more and returns true, unless a request
// waits.
func (r *reserver) endIfEmpty(l *line) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.queue.Len() > 0 {
		return false
	}
	l.isServed = false
	return true
}

// dispatch reserves rights for the requests of a line in their order and reports whether one
// still waits.
func (r *reserver) dispatch(l *line, workspace string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for next := l.queue.Next(); next != nil && r.book.Reserve(workspace, tokens.FromFloat(next.Units)); next = l.queue.Next() {
		l.queue.Serve(next)
		next.Value <- nil
		if !l.searchSince.IsZero() {
			l.supplyDelay.Add(now.Sub(l.searchSince))
			l.searchSince = now
		}
	}
	r.book.SetWaiting(workspace, tokens.FromFloat(l.queue.Units()))
	if l.queue.Len() == 0 {
		l.searchSince = time.Time{}
		return false
	}
	if l.searchSince.IsZero() {
		l.searchSince = now
	}
	return true
}

// lacking returns how many tokens the free rights lack to cover the requests that wait and the
// demand of reserveHorizon. A demand of less than one request counts as none: other instances
// would only lack what is moved here. r.mu must be held.
func (r *reserver) lacking(workspace string, now time.Time) rights.Tokens {
	h := r.book.Holding(workspace, now)
	need := tokens.FromFloat(r.line(workspace).queue.Units())
	if demand := tokens.FromFloat(h.Rate * reserveHorizon.Seconds()); demand >= h.RequestCost {
		need = need.Plus(demand)
	}
	return need.Excess(h.Free)
}

// supply returns what the requests of a line can expect. r.mu must be held.
func (r *reserver) supply(l *line, workspace string, now time.Time) admission.Supply {
	h := r.book.Holding(workspace, now)
	s := admission.Supply{Free: float64(h.Free), PerSecond: l.released.PerSecond(now)}
	if settled := l.settled.PerSecond(now); settled > 0 {
		s.Pending = float64(h.Reserved) * s.PerSecond / settled
	}
	if r.syncer.IsStoreUnreachable() {
		return s
	}
	s.SourceUnits, s.SourceDelay = float64(r.syncer.Ungranted(workspace)), initialSupplyDelay
	if mean, ok := l.supplyDelay.Value(); ok {
		s.SourceDelay = mean
	}
	if !l.searchSince.IsZero() {
		s.SourceDelay = max(s.SourceDelay, now.Sub(l.searchSince))
	}
	return s
}

// returnDelay returns after which delay a refused caller comes back. While the store is away,
// its expected return is as far off as its loss. r.mu must be held.
func (r *reserver) returnDelay(l *line, claim admission.Claim, workspace string, now time.Time) time.Duration {
	supply := r.supply(l, workspace, now)
	wait := supply.Wait(l.queue.Ahead(claim), claim.Units)
	_, away := r.syncer.Granted(workspace, now)
	switch {
	case wait != admission.Never && wait == supply.SourceDelay:
		return admission.BoundReturn(admission.Jitter(wait))
	case r.syncer.IsStoreUnreachable() && float64(r.syncer.Ungranted(workspace)) >= claim.Units && away < wait:
		return admission.BoundReturn(admission.Jitter(max(away, meanReturnDelay)))
	}
	return l.returns.Next(now, wait, supply.Spacing(claim.Units), admission.Jitter(meanReturnDelay))
}

// search looks for rights in the store and at other instances. If it found too few and the
// store has none or is unreachable, it refuses the requests whose wait has no foreseeable end.
func (r *reserver) search(l *line, workspace string) {
	ctx, cancel := context.WithTimeout(r.stopping, searchTimeout)
	defer cancel()
	lacking := r.lackingNow(workspace)
	if lacking > 0 && r.obtain(ctx, workspace, lacking) {
		return
	}
	if lacking > 0 && (r.syncer.IsStoreUnreachable() || r.syncer.Ungranted(workspace) < lacking) {
		r.refuseHopeless(l, workspace)
	}
	time.Sleep(searchPause)
}

func (r *reserver) lackingNow(workspace string) rights.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lacking(workspace, time.Now())
}

// refuseHopeless refuses the requests of a line whose wait has no foreseeable end.
func (r *reserver) refuseHopeless(l *line, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	l.failedAt = now
	supply := r.supply(l, workspace, now)
	ahead := 0.0
	for _, e := range l.queue.Ordered() {
		if supply.Wait(ahead, e.Units) == admission.Never {
			l.queue.Remove(e)
			e.Value <- errNoSupply
			continue
		}
		ahead += e.Units
	}
	r.book.SetWaiting(workspace, tokens.FromFloat(l.queue.Units()))
}

// errNoSupply ends the wait of a request that is not expected to get rights in time.
var errNoSupply = failure.New(failure.Timeout, "", "no rights are expected in time")

// obtain gets missing rights and reports whether it got as many. The first supplier asks the
// store first; other instances ask the store only if no supplier reaches it. Then the other
// instances are asked. During an outage of the store a successful search continues for
// outageAskFactor times the need.
func (r *reserver) obtain(ctx context.Context, workspace string, missing rights.Tokens) bool {
	isFirstSupplier := r.isFirstSupplier(workspace)
	if !isFirstSupplier && !r.syncer.IsStoreUnreachable() {
		received, reached := r.exchange.AskSuppliers(ctx, workspace, missing)
		if received >= missing {
			return true
		}
		missing = missing.Excess(received)
		isFirstSupplier = !reached // this instance acts in its place
	}
	if isFirstSupplier && r.takeFromStore(ctx, workspace, missing) {
		return true
	}
	received, reached := r.exchange.Ask(ctx, workspace, missing)
	switch {
	case reached:
	case r.syncer.IsStoreUnreachable() && received >= missing:
		r.exchange.Ask(ctx, workspace, missing.Times(outageAskFactor-1))
	case received < missing && !isFirstSupplier:
		r.syncer.ReportShortfall(workspace, missing)
	}
	return received >= missing
}

// takeFromStore requests rights from the store and reports whether enough are free within
// storeTimeout.
func (r *reserver) takeFromStore(ctx context.Context, workspace string, missing rights.Tokens) bool {
	r.syncer.ReportShortfall(workspace, missing)
	if r.syncer.IsStoreUnreachable() {
		return false
	}
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	for {
		changed := r.book.Changed(workspace)
		if r.lackingNow(workspace) == 0 {
			return true
		}
		select {
		case <-changed: // also after a settlement, which may free too little
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// insufficientError returns the error for a request that finds too few rights, with the
// figures that the refusal is based on.
func (r *reserver) insufficientError(req gateway.Reservation, now time.Time) *failure.Error {
	holding := r.book.Holding(req.Workspace, now)
	granted, age := r.syncer.Granted(req.Workspace, now)
	return failure.New(failure.Limited, "pay in more, or repeat later",
		"workspace %q: %d tokens are needed, %d are free and %d reserved here; all instances had taken %d as of %d ms ago",
		req.Workspace, req.Tokens, holding.Free, holding.Reserved, granted, age.Milliseconds()).WithOutcome(failure.NotRun).WithCause(failure.CauseRights)
}

// newQueueFullError returns the error for a request for which no place is left in its line.
func newQueueFullError(req gateway.Reservation) *failure.Error {
	return failure.New(failure.Limited, "repeat later", "workspace %q: too many requests wait for rights", req.Workspace).WithOutcome(failure.NotRun).WithCause(failure.CauseQueue)
}

// Settle implements gateway.Rights.
func (r *reserver) Settle(workspace string, reserved, used rights.Tokens) {
	now := time.Now()
	r.mu.Lock()
	l := r.line(workspace)
	l.settled.Add(float64(reserved), now)
	l.released.Add(float64(reserved.Excess(used)), now)
	r.mu.Unlock()
	if err := r.book.Settle(workspace, reserved, used); err != nil {
		r.log.WithError(err).Error("reservation cannot be settled")
	}
}
