package rights

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/eventlog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Timing bounds the work of a Syncer.
type Timing struct {
	// Interval is the pause between two rounds without a reason to hurry.
	Interval time.Duration
	// CallTimeout bounds one transaction.
	CallTimeout time.Duration
	// ConflictDelay is the mean wait after a lost race; Rounds bounds the tries.
	ConflictDelay time.Duration
	MaxAttempts   int
	// MinRoundDelay is the least pause between two rounds that waiting requests
	// ask for.
	MinRoundDelay time.Duration
}

// DefaultTiming returns the bounds in use.
func DefaultTiming() Timing {
	return Timing{Interval: 1500 * time.Millisecond, CallTimeout: 500 * time.Millisecond,
		ConflictDelay: 12 * time.Millisecond, MaxAttempts: 8, MinRoundDelay: 60 * time.Millisecond}
}

// Prepaid tells what workspaces have paid, by name. The map is only read.
type Prepaid func() map[string]Tokens

// SyncerOptions hold what a Syncer needs.
type SyncerOptions struct {
	Book    *Book
	Ledger  *Ledger
	Prepaid Prepaid
	// BufferHolders returns the number of instances that hold rights for a time without the
	// store, and whether this is one of them.
	BufferHolders func() (n int, self bool)
	// IsSupplier reports whether this instance changes the record of a workspace for
	// the others.
	IsSupplier func(workspace string) bool
	// ResolvePending finds the results of calls of other instances that got no answer.
	ResolvePending func(ctx context.Context)
	// Refill asks the supplier of a workspace for rights, or gives some back if want is
	// negative, with a report of what was spent. It reports false if that one does not
	// reach the store.
	Refill func(ctx context.Context, workspace string, want Tokens) bool
	Policy Policy
	Timing Timing
	Log    logrus.FieldLogger
}

// Syncer keeps the holdings of a Book near the Policy's targets. Run owns the
// ledger; the other methods are safe for concurrent use.
type Syncer struct {
	opts  SyncerOptions
	kick  chan struct{}
	fleet map[string]*consumption // used by Run only, as are lack, alone and reach
	lack  map[string]Tokens       // to be asked of, or given to, the suppliers
	alone map[string]bool         // workspaces whose supplier was out of reach
	reach bool                    // a supplier reached the store in the latest round

	mu      sync.Mutex
	short   map[string]Tokens            // what waiting requests lack
	supply  map[string]map[string]Tokens // what other instances lack, by workspace and instance
	granted map[string]Tokens            // as of heard
	heard   time.Time                    // latest answer of the store
	synced  bool

	dependency *eventlog.Dependency
}

// NewSyncer returns a syncer that does nothing until Run.
func NewSyncer(opts SyncerOptions) *Syncer {
	return &Syncer{opts: opts, kick: make(chan struct{}, 1), short: map[string]Tokens{}, supply: map[string]map[string]Tokens{}, granted: map[string]Tokens{}, fleet: map[string]*consumption{},
		dependency: eventlog.NewDependency(opts.Log, "store", "rights")}
}

var _ GrantSource = (*Syncer)(nil)

// HasSynced reports whether the store has answered once.
func (s *Syncer) HasSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// Granted returns what all instances have taken for a workspace, and the age of
// that knowledge.
func (s *Syncer) Granted(workspace string, now time.Time) (Tokens, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted[workspace], now.Sub(s.heard)
}

// ReportShortfall asks for a round soon because requests lack rights.
func (s *Syncer) ReportShortfall(workspace string, lack Tokens) {
	s.mu.Lock()
	s.short[workspace] = max(s.short[workspace], lack)
	s.mu.Unlock()
	s.TriggerRound()
}

// IsStoreUnreachable implements Supply.
func (s *Syncer) IsStoreUnreachable() bool { return s.dependency.IsLost() }

// RequestGrant implements RequestGrant.
func (s *Syncer) RequestGrant(workspace, asker string, lack Tokens) bool {
	paid := s.opts.Prepaid()[workspace]
	s.mu.Lock()
	none := s.granted[workspace] >= paid
	s.mu.Unlock()
	if none || s.IsStoreUnreachable() {
		return false
	}
	if lack > 0 {
		s.mu.Lock()
		if s.supply[workspace] == nil {
			s.supply[workspace] = map[string]Tokens{}
		}
		s.supply[workspace][asker] = max(s.supply[workspace][asker], lack) // it repeats what it did not get
		s.mu.Unlock()
		s.TriggerRound()
	}
	return true
}

// TriggerRound asks for a round soon.
func (s *Syncer) TriggerRound() {
	select {
	case s.kick <- struct{}{}:
	default: // one is due already
	}
}

// Run makes rounds until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	// The first rounds of a fleet that starts at once are spread.
	timer := time.NewTimer(rand.N(s.opts.Timing.Interval / 4))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.kick:
		}
		s.round(ctx)
		s.refill(ctx)
		timer.Reset(s.opts.Timing.Interval)
		wait.Sleep(ctx, s.opts.Timing.MinRoundDelay)
	}
}

// round brings the holdings near their targets.
func (s *Syncer) round(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, s.opts.Timing.CallTimeout)
	err := s.opts.Ledger.Refresh(call)
	cancel()
	if err != nil {
		s.note(err)
		s.plan(time.Now(), nil, false)
		return
	}
	short := s.takeShort()
	for range s.opts.Timing.MaxAttempts {
		again, err := s.attempt(ctx, short)
		s.note(err)
		if err != nil || !again {
			return
		}
		wait.Sleep(ctx, rand.N(2*s.opts.Timing.ConflictDelay))
	}
}

// takeShort returns what requests and other instances lack, once.
func (s *Syncer) takeShort() map[string]Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	short := s.short
	for w, askers := range s.supply {
		for _, n := range askers {
			short[w] += n
		}
	}
	s.short, s.supply = map[string]Tokens{}, map[string]map[string]Tokens{}
	return short
}

// note records the result of a call of the store.
func (s *Syncer) note(err error) {
	s.dependency.Record(err)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced, s.heard = true, time.Now()
	for w := range s.opts.Prepaid() {
		s.granted[w] = s.opts.Ledger.Granted(w)
	}
}

// attempt sends one transaction. short is what waiting requests lack. again means
// that another attempt may do better.
func (s *Syncer) attempt(ctx context.Context, short map[string]Tokens) (again bool, err error) {
	call, cancel := context.WithTimeout(ctx, s.opts.Timing.CallTimeout)
	defer cancel()
	applied, undone, err := s.opts.Ledger.ResolvePending(call)
	s.take(applied, undone)
	if err != nil {
		return false, err
	}
	changes := s.plan(time.Now(), short, true)
	if len(changes) == 0 {
		return false, nil
	}
	applied, undone, err = s.opts.Ledger.Apply(call, changes)
	s.take(applied, undone)
	return undone != nil, err
}

// reportAbove is the part of its target that an instance may spend before it
// reports without another reason for a transaction.
const reportAbove = 0.1

// plan returns the changes to ask for and takes what is to be given back out of
// the book. What the suppliers are to be asked for is left in lack; without the store
// that is all.
func (s *Syncer) plan(now time.Time, short map[string]Tokens, reached bool) map[string]Change {
	prepaid := s.opts.Prepaid()
	changes := map[string]Change{}
	s.lack = map[string]Tokens{}
	takers, taker := s.opts.BufferHolders()
	for w, paid := range prepaid {
		granted := s.opts.Ledger.Granted(w)
		sit := PolicyInput{Holding: s.opts.Book.Holding(w, now), Prepaid: paid, Granted: granted, Spent: s.opts.Ledger.Spent(w),
			FleetRate: s.fleetRate(w, now, reached), BufferHolders: takers, NoBuffer: !taker, Shortfall: short[w]}
		d := s.opts.Policy.Change(sit)
		report := float64(sit.Holding.Unreported) > reportAbove*float64(s.opts.Policy.Target(sit))
		direct := reached && (short[w] > 0 || s.alone[w] || s.opts.IsSupplier(w))
		if reached {
			s.opts.Book.SetFrozen(w, granted > paid)
		}
		switch {
		case d == 0 && !report, d < 0 && !reached && !s.reach: // while the store is away the rights stay where they are
		case !direct:
			s.lack[w] = d
		case d < 0:
			changes[w] = Change{Granted: -s.opts.Book.Remove(w, -d)}
		default:
			changes[w] = Change{Granted: d}
		}
	}
	if reached {
		s.addReports(prepaid, changes)
	}
	return changes
}

// refillTimeout bounds the calls for what one plan lacks, so that peers out of
// reach do not hold up the next round.
const refillTimeout = 500 * time.Millisecond

// refill asks the suppliers for what the latest plan lacks.
func (s *Syncer) refill(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refillTimeout)
	defer cancel()
	s.opts.ResolvePending(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	alone := map[string]bool{}
	reach := s.reach && len(s.lack) == 0
	for w, n := range s.lack {
		wg.Go(func() {
			reached := s.opts.Refill(ctx, w, n)
			mu.Lock()
			defer mu.Unlock()
			reach = reach || reached
			if !reached {
				alone[w] = true
			}
		})
	}
	wg.Wait()
	s.lack, s.alone, s.reach = nil, alone, reach
}

// addReports adds what the store does not know yet of workspaces whose records a
// transaction changes anyway. Others wait: a transaction on more records conflicts
// with more instances.
func (s *Syncer) addReports(prepaid map[string]Tokens, changes map[string]Change) {
	var touched [Shards]bool
	for w := range changes {
		touched[shardOf(w)] = true
	}
	for w := range prepaid {
		if !touched[shardOf(w)] {
			continue
		}
		if n := s.opts.Book.TakeUnreported(w); n > 0 {
			c := changes[w]
			c.Spent = n
			changes[w] = c
		}
	}
}

const (
	// consumptionWindow is the time over which consumption is averaged. It is
	// longer than the outages of the store, after which a sum arrives late.
	consumptionWindow = 12 * time.Second
	// consumptionLeast is the shortest time that is divided by.
	consumptionLeast = 3 * time.Second
)

// consumption follows the reported sum of a workspace.
type consumption struct{ samples []sample }

type sample struct {
	at    time.Time
	spent Tokens
}

// add records the sum and drops what is older than the window, but for one.
func (c *consumption) add(spent Tokens, now time.Time) {
	c.samples = append(c.samples, sample{now, spent})
	for len(c.samples) > 2 && now.Sub(c.samples[1].at) >= consumptionWindow {
		c.samples = c.samples[1:]
	}
}

// perSecond returns the mean over the window.
func (c *consumption) perSecond() float64 {
	if len(c.samples) == 0 {
		return 0
	}
	first, last := c.samples[0], c.samples[len(c.samples)-1]
	return float64(last.spent-first.spent) / max(consumptionLeast, last.at.Sub(first.at)).Seconds()
}

// fleetRate returns the recent consumption at all instances. The sum counts as a
// sample only if the store has just told it.
func (s *Syncer) fleetRate(workspace string, now time.Time, told bool) float64 {
	c := s.fleet[workspace]
	if c == nil {
		c = &consumption{}
		s.fleet[workspace] = c
	}
	if told {
		c.add(s.opts.Ledger.Spent(workspace), now)
	}
	return c.perSecond()
}

// take puts what a transaction brought, or could not give back, into the book.
func (s *Syncer) take(applied, undone map[string]Change) {
	prepaid := s.opts.Prepaid()
	for w, c := range applied {
		if c.Granted == 0 {
			continue
		}
		if c.Granted > 0 {
			s.opts.Book.Add(w, c.Granted)
		}
		h := s.opts.Book.Holding(w, time.Now())
		s.opts.Log.WithFields(logrus.Fields{"workspace": w, "change": c.Granted, "granted": s.opts.Ledger.Granted(w), "prepaid": prepaid[w],
			"free": h.Free, "reserved": h.Reserved, "spent": h.Spent, "rate": int64(h.Rate)}).Info("rights changed")
	}
	for w, c := range undone {
		if c.Granted < 0 {
			s.opts.Book.Add(w, -c.Granted)
		}
		s.opts.Book.RestoreUnreported(w, c.Spent)
	}
}

// ReturnAll returns all free rights. It is called after Run has ended and no
// request is left.
func (s *Syncer) ReturnAll(ctx context.Context) error {
	var last error
	for range s.opts.Timing.MaxAttempts {
		applied, undone, err := s.opts.Ledger.ResolvePending(ctx)
		s.take(applied, undone)
		if err == nil {
			changes := map[string]Change{}
			prepaid := s.opts.Prepaid()
			for w := range prepaid {
				if n := s.opts.Book.Remove(w, s.opts.Book.Holding(w, time.Now()).Free); n > 0 {
					changes[w] = Change{Granted: -n}
				}
			}
			for w := range prepaid {
				if s.opts.Book.Holding(w, time.Now()).Unreported > 0 {
					changes[w] = Change{Granted: changes[w].Granted}
				}
			}
			s.addReports(prepaid, changes)
			if len(changes) == 0 {
				return nil
			}
			applied, undone, err = s.opts.Ledger.Apply(ctx, changes)
			s.take(applied, undone)
			if err == nil && undone == nil {
				return nil
			}
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		wait.Sleep(ctx, rand.N(2*s.opts.Timing.ConflictDelay))
	}
	if last == nil {
		last = failure.New(failure.Conflict, "the rights stay granted", "the rights could not be given back")
	}
	return last
}
