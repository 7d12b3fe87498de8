package rights

import (
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// Tokens is an amount of prompt and output tokens.
type Tokens = tokens.Count

// Delta is a change of an amount of tokens.
type Delta = tokens.Delta

// Book accounts for the rights that this instance holds. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// account holds the rights of one workspace.
type account struct {
	free     Tokens         // available for reservations
	reserved Tokens         // held by requests in flight
	spent    Tokens         // since the start of the process
	relayed  Tokens         // spent by other instances that report it through this one
	reported Tokens         // part of the sum of spent and relayed that has been reported to the store
	waiting  Tokens         // needed by requests that wait for free rights
	frozen   bool           // set while more is granted than prepaid: no reservations
	demand   admission.Rate // tokens
	requests admission.Rate // number of requests
	changed  chan struct{}  // closed and replaced when free grows or frozen is cleared
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{accounts: map[string]*account{}} }

// account returns the account of a workspace and creates it if necessary. The
// caller holds b.mu.
func (b *Book) account(workspace string) *account {
	a := b.accounts[workspace]
	if a == nil {
		a = &account{changed: make(chan struct{}), demand: admission.NewRate(rateWindow), requests: admission.NewRate(rateWindow)}
		b.accounts[workspace] = a
	}
	return a
}

// Reserve reserves the maximum cost of a request. It reports false, and reserves
// nothing, if the free rights do not cover it, it is no amount that they could cover (see
// tokens.Count.Take), or the workspace is frozen.
func (b *Book) Reserve(workspace string, maxCost Tokens) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	rest, covered := a.free.Take(maxCost)
	if a.frozen || !covered {
		return false
	}
	a.free, a.reserved = rest, a.reserved.Plus(maxCost)
	return true
}

// RecordDemand adds the maximum cost of a request to the demand rate, whether or
// not the request is served.
func (b *Book) RecordDemand(workspace string, maxCost Tokens, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	a.demand.Add(float64(max(0, maxCost)), now)
	a.requests.Add(1, now)
}

// Settle ends a reservation of which used tokens were spent. The rest becomes free. Settle
// fails with failure.Internal, and changes nothing, if less is reserved.
func (b *Book) Settle(workspace string, reserved, used Tokens) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	rest, ok := a.reserved.Take(reserved)
	if !ok {
		return failure.New(failure.Internal, "report this message to the maintainers", "workspace %q: %d tokens are settled, %d are reserved", workspace, reserved, a.reserved)
	}
	a.reserved, a.spent = rest, a.spent.Plus(used)
	a.addFree(reserved.Excess(used))
	return nil
}

// addFree adds n free rights and wakes the waiters on changed.
func (a *account) addFree(n Tokens) {
	a.free = a.free.Plus(n)
	if n > 0 {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// Add adds n free rights that were granted by the store or received from another
// instance.
func (b *Book) Add(workspace string, n Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(workspace).addFree(n)
}

// Remove removes up to n free rights from the book and returns the number removed.
func (b *Book) Remove(workspace string, n Tokens) Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	n = max(0, min(n, a.free))
	a.free = a.free.Excess(n)
	return n
}

// SetFrozen forbids or permits new reservations of a workspace.
func (b *Book) SetFrozen(workspace string, frozen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	if a.frozen && !frozen {
		close(a.changed)
		a.changed = make(chan struct{})
	}
	a.frozen = frozen
}

// SetWaiting records how much the requests need that wait for free rights. Other instances get
// only what is free beyond that.
func (b *Book) SetWaiting(workspace string, n Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(workspace).waiting = n
}

// Changed returns a channel that is closed when the free rights of a workspace grow,
// or when the workspace is unfrozen.
func (b *Book) Changed(workspace string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(workspace).changed
}

// AddRelayed adds n tokens that another instance has spent to the next report.
func (b *Book) AddRelayed(workspace string, n Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	a.relayed = a.relayed.Plus(n)
}

// TakeUnreported returns the tokens that were spent or relayed since the last call,
// and counts them as reported.
func (b *Book) TakeUnreported(workspace string) Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	n := a.unreported()
	a.reported = a.reported.Plus(n)
	return n
}

// RestoreUnreported counts n tokens as unreported again, because the report of them
// did not take effect.
func (b *Book) RestoreUnreported(workspace string, n Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	a.reported = a.reported.Excess(n)
}

// unreported returns the tokens that were spent or relayed and not reported.
func (a *account) unreported() Tokens { return a.spent.Plus(a.relayed).Excess(a.reported) }

// Holding is a snapshot of the account of one workspace.
type Holding struct {
	// Free is available for reservations, Reserved is held by requests in flight, and
	// Spent counts since the start of the process.
	Free, Reserved, Spent Tokens
	// Unreported is the part of Spent, and of what other instances relayed, that has
	// not been reported to the store.
	Unreported Tokens
	// Waiting is needed by requests that wait for free rights.
	Waiting Tokens
	// Rate is the recent demand in tokens per second.
	Rate float64
	// RequestCost is the mean maximum cost of the recent requests, or 0 if there were none.
	RequestCost Tokens
}

// Holding returns a snapshot of the account of a workspace.
func (b *Book) Holding(workspace string, now time.Time) Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	h := Holding{Free: a.free, Reserved: a.reserved, Spent: a.spent, Unreported: a.unreported(), Waiting: a.waiting, Rate: a.demand.PerSecond(now)}
	if requests := a.requests.PerSecond(now); requests > 0 {
		h.RequestCost = tokens.FromFloat(h.Rate / requests)
	}
	return h
}

// rateWindow is the length of the window of a demand rate. It is long enough to average
// a few requests and short enough to follow a surge within seconds.
const rateWindow = 4 * time.Second
