package rights

import (
	"sync"
	"time"
)

// Tokens is an amount of prompt and output tokens.
type Tokens = int64

// Book counts the rights that this instance holds. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// account is the rights of one workspace.
type account struct {
	free     Tokens // may be reserved
	reserved Tokens // by requests in flight
	spent    Tokens // since the start of the process
	relayed  Tokens // spent by others that asked this instance to report it
	reported Tokens // part of spent and relayed that the store knows
	frozen   bool   // granted more than prepaid: nothing more may be spent
	demand   rate
	changed  chan struct{} // closed when free grows
}

// NewBook returns a book without rights.
func NewBook() *Book { return &Book{accounts: map[string]*account{}} }

func (b *Book) account(workspace string) *account {
	a := b.accounts[workspace]
	if a == nil {
		a = &account{changed: make(chan struct{})}
		b.accounts[workspace] = a
	}
	return a
}

// Reserve sets aside the most that a request can cost and reports whether the
// instance holds as much.
func (b *Book) Reserve(workspace string, most Tokens) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	if a.frozen || a.free < most {
		return false
	}
	a.free -= most
	a.reserved += most
	return true
}

// RecordDemand records what a request asks for, whether it is served or not.
func (b *Book) RecordDemand(workspace string, most Tokens, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(workspace).demand.add(float64(most), now)
}

// Settle ends a reservation. What was not used becomes free again.
func (b *Book) Settle(workspace string, reserved, used Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	a.reserved -= reserved
	a.spent += used
	a.add(reserved - used)
}

func (a *account) add(n Tokens) {
	a.free += n
	if n > 0 {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// Add makes taken rights free.
func (b *Book) Add(workspace string, n Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(workspace).add(n)
}

// Remove takes up to n free rights out of the book and returns how many.
func (b *Book) Remove(workspace string, n Tokens) Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	n = max(0, min(n, a.free))
	a.free -= n
	return n
}

// SetFrozen stops or permits spending of a workspace.
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

// Changed returns a channel that is closed when free rights of a workspace grow.
func (b *Book) Changed(workspace string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(workspace).changed
}

// AddRelayed adds what another instance has spent to the next report.
func (b *Book) AddRelayed(workspace string, n Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(workspace).relayed += n
}

// TakeUnreported returns what was spent or relayed since the last call.
func (b *Book) TakeUnreported(workspace string) Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	n := a.spent + a.relayed - a.reported
	a.reported += n
	return n
}

// RestoreUnreported takes back a report that did not take effect.
func (b *Book) RestoreUnreported(workspace string, n Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(workspace).reported -= n
}

// Holding is the state of one workspace in a book.
type Holding struct {
	Free, Reserved, Spent Tokens
	// Unreported is what the store does not know of Spent and of what others relayed.
	Unreported Tokens
	// Rate is the recent demand in tokens per second.
	Rate float64
}

// Holding returns the state of a workspace.
func (b *Book) Holding(workspace string, now time.Time) Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(workspace)
	return Holding{Free: a.free, Reserved: a.reserved, Spent: a.spent, Unreported: a.spent + a.relayed - a.reported, Rate: a.demand.perSecond(now)}
}

// rateWindow is how long demand counts in full: long enough for a mean of a few
// requests, short enough to see a surge within seconds.
const rateWindow = 4 * time.Second

// rate is the mean demand of the present and the previous window.
type rate struct {
	start         time.Time
	current, last float64
}

func (r *rate) roll(now time.Time) {
	switch age := now.Sub(r.start); {
	case age >= 2*rateWindow:
		r.start, r.current, r.last = now, 0, 0
	case age >= rateWindow:
		r.start, r.current, r.last = r.start.Add(rateWindow), 0, r.current
	}
}

func (r *rate) add(n float64, now time.Time) {
	r.roll(now)
	r.current += n
}

func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	part := float64(now.Sub(r.start)) / float64(rateWindow)
	return (r.current + r.last*(1-part)) / rateWindow.Seconds()
}
