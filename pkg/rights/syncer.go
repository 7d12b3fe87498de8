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

// Timing holds the intervals and timeouts of a Syncer.
type Timing struct {
	// Interval is the time between two rounds unless TriggerRound is called.
	Interval time.Duration
	// FollowerReadInterval is the time between two reads of the sums by an instance that is
	// no buffer holder. Suppliers hold what it needs, so it uses the sums only as estimates.
	FollowerReadInterval time.Duration
	// CallTimeout bounds one read, and one attempt including its transactions.
	CallTimeout time.Duration
	// ConflictDelay is the mean delay before the next attempt after the first conflict of a
	// round. It doubles with each further one.
	ConflictDelay time.Duration
	// MaxAttempts bounds the attempts of one round.
	MaxAttempts int
	// MinRoundDelay is the shortest delay between two rounds, even if TriggerRound is
	// called.
	MinRoundDelay time.Duration
}

// DefaultTiming returns the default values.
func DefaultTiming() Timing {
	return Timing{Interval: 1500 * time.Millisecond, FollowerReadInterval: 4500 * time.Millisecond, CallTimeout: 500 * time.Millisecond,
		ConflictDelay: 12 * time.Millisecond, MaxAttempts: 10, MinRoundDelay: 60 * time.Millisecond}
}

// Prepaid returns the prepaid tokens of each limited workspace, by name. Callers must
// not modify the map.
type Prepaid func() map[string]Tokens

// SyncerOptions holds the dependencies and parameters of a Syncer. All fields are
// required.
type SyncerOptions struct {
	Book    *Book
	Ledger  *Ledger
	Prepaid Prepaid
	// BufferHolders returns the number of buffer holders and whether this instance is one
	// of them. Buffer holders hold rights beyond their own demand, so that requests can
	// be served while the store is unreachable.
	BufferHolders func() (n int, self bool)
	// Instances returns the number of all instances, this one included.
	Instances func() int
	// SupplierRank returns the rank of this instance among the Suppliers of a workspace,
	// or NoSupplier. The one of rank 0 changes the record on behalf of the others; the
	// next one takes its place while it does not reach the store.
	SupplierRank func(workspace string) int
	// ResolvePending finds the results of calls to other instances that got no answer.
	ResolvePending func(ctx context.Context)
	// Refill asks a supplier of the workspace for want rights, or returns -want to it if
	// want is negative, and reports what was spent. It reports false if no supplier
	// reached the store.
	Refill func(ctx context.Context, workspace string, want Delta) bool
	// Evidence returns what other instances know of the sums before the store returned from
	// an older copy. RestoreDelay is how long this instance leaves the restoration of the sums
	// to others; it reports false while this instance does not know the others.
	Evidence Evidence
	// Announce tells other instances the sums that this one has written, before it uses the
	// rights that it has taken, so that they are known if it ends and the store loses them.
	Announce     func(ctx context.Context, states []KnownState)
	RestoreDelay func() (delay time.Duration, ok bool)
	Policy       Policy
	Timing       Timing
	Log          logrus.FieldLogger
}

// Syncer keeps the holdings of a Book near the Policy's targets. Run, and after it
// ReturnAll, use the ledger; the other methods are safe for concurrent use.
type Syncer struct {
	opts    SyncerOptions
	trigger chan struct{}

	// The following fields are used by Run only. The maps are keyed by workspace.
	fleetConsumption     map[string]*consumption // as reported to the store by all instances
	lost                 map[string]*losses      // estimated
	supplierRequests     map[string]Delta        // rights to ask of a supplier, or to return to it if negative
	loggedUnknown        map[string]bool         // see logUnknownSum
	unsupplied           map[string]bool         // no supplier reached the store in the latest round
	supplierReachedStore bool                    // a supplier reached the store in the latest round
	newEra               uint64                  // latest era that the ledger did not use when it was seen
	newEraSince          time.Time               // when it was seen first

	mu             sync.Mutex
	shortfalls     map[string]Tokens            // what waiting requests lack, by workspace
	peerShortfalls map[string]map[string]Tokens // what other instances lack, by workspace and incarnation
	granted        map[string]Tokens            // by workspace, as of lastContact
	lastContact    time.Time                    // time of the latest answer of the store
	synced         bool                         // the store has answered since the start of the process

	dependency *eventlog.Dependency
}

// NewSyncer returns a syncer. It makes no call before Run.
func NewSyncer(opts SyncerOptions) *Syncer {
	return &Syncer{opts: opts, trigger: make(chan struct{}, 1), shortfalls: map[string]Tokens{}, peerShortfalls: map[string]map[string]Tokens{}, granted: map[string]Tokens{}, fleetConsumption: map[string]*consumption{}, lost: map[string]*losses{}, loggedUnknown: map[string]bool{},
		dependency: eventlog.NewDependency(opts.Log, "store", "rights")}
}

var _ GrantSource = (*Syncer)(nil)

// HasSynced reports whether the store has answered since the start of the process.
func (s *Syncer) HasSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// Granted returns the tokens that all instances have taken for a workspace as of the
// latest answer of the store, and the age of that answer.
func (s *Syncer) Granted(workspace string, now time.Time) (Tokens, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted[workspace], now.Sub(s.lastContact)
}

// Ungranted returns the tokens of a workspace that no instance had taken as of the latest
// answer of the store.
func (s *Syncer) Ungranted(workspace string) Tokens {
	paid := s.opts.Prepaid()[workspace]
	s.mu.Lock()
	defer s.mu.Unlock()
	return paid.Excess(s.granted[workspace])
}

// ReportShortfall triggers a round that takes shortfall more tokens for waiting
// requests. Of several reports for one round, the largest counts.
func (s *Syncer) ReportShortfall(workspace string, shortfall Tokens) {
	s.mu.Lock()
	s.shortfalls[workspace] = max(s.shortfalls[workspace], shortfall)
	s.mu.Unlock()
	s.TriggerRound()
}

// IsStoreUnreachable implements GrantSource.
func (s *Syncer) IsStoreUnreachable() bool { return s.dependency.IsLost() }

// RequestGrant implements GrantSource. Requesters repeat requests that were not met in
// full, so only the largest request of one requester counts in a round.
func (s *Syncer) RequestGrant(workspace, requester string, shortfall Tokens) bool {
	paid := s.opts.Prepaid()[workspace]
	s.mu.Lock()
	exhausted := s.granted[workspace] >= paid
	s.mu.Unlock()
	if exhausted || s.IsStoreUnreachable() {
		return false
	}
	if shortfall > 0 {
		s.mu.Lock()
		if s.peerShortfalls[workspace] == nil {
			s.peerShortfalls[workspace] = map[string]Tokens{}
		}
		s.peerShortfalls[workspace][requester] = max(s.peerShortfalls[workspace][requester], shortfall)
		s.mu.Unlock()
		s.TriggerRound()
	}
	return true
}

// TriggerRound makes Run start a round soon.
func (s *Syncer) TriggerRound() {
	select {
	case s.trigger <- struct{}{}:
	default: // a round is already triggered
	}
}

// Run makes rounds until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	// A random delay spreads the first rounds of instances that start at the same time.
	timer := time.NewTimer(rand.N(s.opts.Timing.Interval / 4))
	defer timer.Stop()
	refills := make(chan refillResult, 1)
	refilling := false
	defer func() {
		if refilling {
			<-refills
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-refills:
			refilling = false
			s.applyRefillResult(result)
			continue
		case <-timer.C:
		case <-s.trigger:
		}
		s.runRound(ctx)
		if !refilling {
			refilling = true
			requests, reachedStore := s.supplierRequests, s.supplierReachedStore
			// Calls to unreachable suppliers must not delay the next round, in which this
			// instance takes rights for others.
			go func() { refills <- s.refill(ctx, requests, reachedStore) }()
		}
		timer.Reset(s.opts.Timing.Interval)
		wait.Sleep(ctx, s.opts.Timing.MinRoundDelay)
	}
}

// runRound brings the holdings near their targets by transactions, and leaves the
// requests for suppliers in s.supplierRequests.
func (s *Syncer) runRound(ctx context.Context) {
	if s.canSkipRead(time.Now()) {
		s.plan(time.Now(), nil, false, shardSet{})
		return
	}
	if err := s.refresh(ctx); err != nil {
		s.recordResult(err)
		s.plan(time.Now(), nil, false, shardSet{})
		return
	}
	if s.IsStoreUnreachable() {
		s.unsupplied = nil // the suppliers have probably regained the store as well
	}
	shortfalls := s.takeShortfalls()
	doublings := maxConflictDoublings
	if len(shortfalls) > 0 {
		doublings = maxUrgentDoublings
	}
	scope := allShards()
	for i := range s.opts.Timing.MaxAttempts {
		changes, conflict, err := s.attempt(ctx, shortfalls, scope[0])
		s.recordResult(err)
		if err != nil {
			return
		}
		scope = nextScope(scope, changes, shortfalls, conflict)
		if len(scope) == 0 {
			return
		}
		if conflict {
			wait.Sleep(ctx, s.conflictDelay(i, doublings))
		}
	}
}

const (
	// enterEraTimeout bounds the calls with which the sums are restored.
	enterEraTimeout = 2 * time.Second
	// enterEraRetryDelay is the delay after a failed attempt to enter an era, in which no
	// rights can be taken.
	enterEraRetryDelay = 200 * time.Millisecond
	// uninformedDelay is how much longer an instance that knows no former sums, because it has
	// just started, leaves their restoration to the others: it may not reach them.
	uninformedDelay = 1500 * time.Millisecond
)

// refresh reads the sums, and enters the era of the store if it is a new one.
func (s *Syncer) refresh(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, s.opts.Timing.CallTimeout)
	defer cancel()
	err := s.opts.Ledger.Refresh(callCtx)
	if era, changed := s.opts.Ledger.NewEra(); changed {
		err = s.enterEra(ctx, era, time.Now())
		if err != nil {
			time.AfterFunc(enterEraRetryDelay, s.TriggerRound)
		}
	}
	return err
}

// enterEra enters a new era of the store. While no instance has restored the sums in it,
// each tries to after its own delay, so that mostly one asks all others for them.
func (s *Syncer) enterEra(ctx context.Context, era uint64, now time.Time) error {
	if era != s.newEra {
		s.newEra, s.newEraSince = era, now
	}
	evidence := s.opts.Evidence
	delay, ok := s.opts.RestoreDelay()
	if !s.opts.Ledger.KnowsFormer(era) {
		delay += uninformedDelay
	}
	if !ok || now.Sub(s.newEraSince) < delay {
		evidence = nil
	}
	ctx, cancel := context.WithTimeout(ctx, enterEraTimeout)
	defer cancel()
	err := s.opts.Ledger.EnterEra(ctx, evidence)
	log := s.opts.Log.WithField("era", era)
	switch {
	case err == nil:
		log.Info("ledger entered an era of the store")
	case evidence != nil:
		log.WithError(err).Warn("cannot restore the sums in a new era of the store")
	}
	return err
}

// shardSet is a set of shard numbers.
type shardSet [Shards]bool

// allShards returns the scope of the first attempt of a round: all shards at once.
func allShards() []shardSet {
	var all shardSet
	for i := range all {
		all[i] = true
	}
	return []shardSet{all}
}

// nextScope returns the shards of the next attempts of a round, one set for each, given
// those planned before and the changes of the latest one. After a conflict the shards of
// the changes are tried one by one, those for which requests wait first: under contention
// a transaction on many shards hardly ever succeeds.
func nextScope(scope []shardSet, changes map[string]Change, shortfalls map[string]Tokens, conflict bool) []shardSet {
	if !conflict {
		return scope[1:]
	}
	if len(scope) > 1 {
		return append(scope[1:], scope[0])
	}
	var urgent, other []shardSet
	var seen shardSet
	for w := range changes {
		i := shardOf(w)
		if seen[i] {
			continue
		}
		seen[i] = true
		isUrgent := false
		for v := range changes {
			isUrgent = isUrgent || shardOf(v) == i && shortfalls[v] > 0
		}
		var single shardSet
		single[i] = true
		if isUrgent {
			urgent = append(urgent, single)
		} else {
			other = append(other, single)
		}
	}
	return append(urgent, other...)
}

// maxConflictDoublings bounds the growth of the delay after conflicts, and
// maxUrgentDoublings that of an instance for which requests wait.
const (
	maxConflictDoublings = 4
	maxUrgentDoublings   = 2
)

// conflictDelay returns a random delay after conflict number i of a round, counted from 0.
// Its mean doubles with each conflict up to doublings, so that many instances in conflict
// spread out and leave the records to those that are urgent.
func (s *Syncer) conflictDelay(i, doublings int) time.Duration {
	return rand.N(2 * s.opts.Timing.ConflictDelay << min(i, doublings))
}

// canSkipRead reports whether this round can use the sums that an earlier one read: this
// instance is no buffer holder, no request waits for rights, and the store answered within
// FollowerReadInterval.
func (s *Syncer) canSkipRead(now time.Time) bool {
	if _, holdsBuffer := s.opts.BufferHolders(); holdsBuffer || s.IsStoreUnreachable() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.shortfalls)+len(s.peerShortfalls) == 0 && s.synced && now.Sub(s.lastContact) < s.opts.Timing.FollowerReadInterval-s.opts.Timing.Interval/2
}

// takeShortfalls returns and clears what requests and other instances lack, by workspace.
func (s *Syncer) takeShortfalls() map[string]Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	shortfalls := s.shortfalls
	for w, byRequester := range s.peerShortfalls {
		for _, n := range byRequester {
			shortfalls[w] = shortfalls[w].Plus(n)
		}
	}
	s.shortfalls, s.peerShortfalls = map[string]Tokens{}, map[string]map[string]Tokens{}
	return shortfalls
}

// recordResult records the result of a call of the store and, if it succeeded, the
// granted sums.
func (s *Syncer) recordResult(err error) {
	s.dependency.Record(err)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced, s.lastContact = true, time.Now()
	for w := range s.opts.Prepaid() {
		s.granted[w] = s.opts.Ledger.Granted(w)
	}
}

// attempt resolves the pending transaction and commits the planned changes of the given
// shards, which it returns. shortfalls is what waiting requests lack, by workspace.
// conflict reports that the changes were rejected and another attempt may succeed.
func (s *Syncer) attempt(ctx context.Context, shortfalls map[string]Tokens, scope shardSet) (changes map[string]Change, conflict bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, s.opts.Timing.CallTimeout)
	defer cancel()
	applied, rejected, err := s.opts.Ledger.ResolvePending(callCtx)
	s.announce(ctx, applied)
	s.applyResult(applied, rejected)
	if err != nil {
		return nil, false, err
	}
	changes = s.plan(time.Now(), shortfalls, true, scope)
	if len(changes) == 0 {
		return nil, false, nil
	}
	applied, rejected, err = s.opts.Ledger.Apply(callCtx, changes)
	s.announce(ctx, applied)
	s.applyResult(applied, rejected)
	return changes, rejected != nil, err
}

// announce announces the sums after changes that took rights.
func (s *Syncer) announce(ctx context.Context, applied map[string]Change) {
	for _, c := range applied {
		if c.Granted <= 0 {
			continue
		}
		if states := s.opts.Ledger.Written(applied); len(states) > 0 {
			s.opts.Announce(ctx, states)
		}
		return
	}
}

// reportAbove is the unreported consumption, as a fraction of the instance's target,
// above which the instance makes a transaction only to report it.
const reportAbove = 0.1

// plan returns the changes to commit in the shards of scope and removes the rights to be
// returned from the book. It leaves the requests for suppliers, of all shards, in
// s.supplierRequests. If the store was not reached, there are only requests for suppliers.
func (s *Syncer) plan(now time.Time, shortfalls map[string]Tokens, storeReached bool, scope shardSet) map[string]Change {
	prepaid := s.opts.Prepaid()
	changes := map[string]Change{}
	s.supplierRequests = map[string]Delta{}
	bufferHolders, holdsBuffer := s.opts.BufferHolders()
	instances := s.opts.Instances()
	for w, paid := range prepaid {
		granted, spent, holding := s.opts.Ledger.Granted(w), s.opts.Ledger.Spent(w), s.opts.Book.Holding(w, now)
		if s.lost[w] == nil {
			s.lost[w] = &losses{}
		}
		if storeReached {
			s.lost[w].add(unaccounted(granted, spent, holding, bufferHolders, instances, holdsBuffer), now)
		}
		in := PolicyInput{Holding: holding, Prepaid: paid, Granted: granted, Spent: spent, Lost: s.lost[w].tokens(),
			FleetRate: s.fleetRate(w, now, storeReached), BufferHolders: bufferHolders, NoBuffer: !holdsBuffer, Shortfall: shortfalls[w]}
		change := s.opts.Policy.Change(in)
		shouldReport := float64(in.Holding.Unreported) > reportAbove*float64(s.opts.Policy.Target(in))
		direct := storeReached && (shortfalls[w] > 0 || s.actsAsSupplier(w) || s.unsupplied[w] && change > 0)
		if storeReached {
			s.opts.Book.SetFrozen(w, granted > paid)
			s.logUnknownSum(w, granted)
		}
		switch {
		case change == 0 && !shouldReport, change < 0 && !storeReached && !s.supplierReachedStore:
			// Rights are not returned while no instance is known to reach the store.
		case !direct:
			s.supplierRequests[w] = change
		case !scope[shardOf(w)]:
			// Another attempt of the round commits it.
		case change < 0:
			changes[w] = s.removeForReturn(w, change.Decrease())
		default:
			changes[w] = Change{Granted: change}
		}
	}
	if storeReached {
		s.addSpendReports(prepaid, changes)
	}
	return changes
}

// logUnknownSum logs once that no rights of a workspace can be granted because its sum in the
// store is out of range.
func (s *Syncer) logUnknownSum(workspace string, granted Tokens) {
	if granted == unknownSum && !s.loggedUnknown[workspace] {
		s.loggedUnknown[workspace] = true
		s.opts.Log.WithField("workspace", workspace).Error("the sum of granted tokens in the store is out of range; no rights are granted")
	}
}

// removeForReturn removes up to n free rights from the book and returns the change that returns
// them to the store.
func (s *Syncer) removeForReturn(workspace string, n Tokens) Change {
	removed := s.opts.Book.Remove(workspace, n)
	if granted := s.opts.Ledger.Granted(workspace); removed > granted {
		s.opts.Log.WithFields(logrus.Fields{"workspace": workspace, "returned": removed, "granted": granted}).Warn("more rights are returned than the store has granted")
	}
	return Change{Granted: Tokens(0).Minus(removed)}
}

// actsAsSupplier reports whether this instance is the first supplier of a workspace, or the
// next one while no supplier before it reaches the store. Only such an instance returns
// rights to the store: nobody waits for them, and returns of all instances would conflict
// with what requests need.
func (s *Syncer) actsAsSupplier(workspace string) bool {
	rank := s.opts.SupplierRank(workspace)
	return rank == 0 || rank > 0 && s.unsupplied[workspace]
}

// refillTimeout bounds all calls to suppliers after one round, so that unreachable
// peers do not delay the next round.
const refillTimeout = 500 * time.Millisecond

// refillResult is the result of the calls to suppliers.
type refillResult struct {
	unsupplied   map[string]bool // workspaces for which no supplier reached the store
	reachedStore bool            // a supplier reached the store
}

// refillFromSuppliers sends the requests of the latest plan to the suppliers and waits for
// the result.
func (s *Syncer) refillFromSuppliers(ctx context.Context) {
	s.applyRefillResult(s.refill(ctx, s.supplierRequests, s.supplierReachedStore))
}

// applyRefillResult records the result of refill for the next rounds.
func (s *Syncer) applyRefillResult(result refillResult) {
	s.unsupplied, s.supplierReachedStore = result.unsupplied, result.reachedStore
}

// refill sends requests to the suppliers. previouslyReached is the former
// refillResult.reachedStore, which stays if there is nothing to ask for.
func (s *Syncer) refill(ctx context.Context, requests map[string]Delta, previouslyReached bool) refillResult {
	ctx, cancel := context.WithTimeout(ctx, refillTimeout)
	defer cancel()
	var wg sync.WaitGroup
	// Pending calls to unreachable peers last until refillTimeout and must not take the
	// time of the refills.
	wg.Go(func() { s.opts.ResolvePending(ctx) })
	var mu sync.Mutex
	result := refillResult{unsupplied: map[string]bool{}, reachedStore: previouslyReached && len(requests) == 0}
	for w, n := range requests {
		wg.Go(func() {
			storeReached := s.opts.Refill(ctx, w, n)
			mu.Lock()
			defer mu.Unlock()
			result.reachedStore = result.reachedStore || storeReached
			if !storeReached {
				result.unsupplied[w] = true
			}
		})
	}
	wg.Wait()
	return result
}

// addSpendReports adds unreported consumption to changes, but only that of workspaces
// whose shard record the transaction writes anyway. The rest is reported later, because
// a transaction on more shard records conflicts with more instances.
func (s *Syncer) addSpendReports(prepaid map[string]Tokens, changes map[string]Change) {
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
	// consumptionWindow is the time over which consumption is averaged. It is longer
	// than a store outage: the first reports after an outage raise the spent sum at once
	// by all that was spent during it, and a shorter window would show that as a surge.
	consumptionWindow = 12 * time.Second
	// minConsumptionWindow is the shortest time over which consumption is averaged, so
	// that the first samples do not give an excessive rate.
	minConsumptionWindow = 3 * time.Second
)

// consumption is the rate at which the spent sum of a workspace grows.
type consumption struct{ samples []sample }

// sample is an amount at a time.
type sample struct {
	at     time.Time
	tokens Tokens
}

// add records a sample. It drops samples older than the window, except for the latest
// of them.
func (c *consumption) add(spent Tokens, now time.Time) {
	c.samples = append(c.samples, sample{now, spent})
	for len(c.samples) > 2 && now.Sub(c.samples[1].at) >= consumptionWindow {
		c.samples = c.samples[1:]
	}
}

// perSecond returns the mean rate over the window, in tokens per second.
func (c *consumption) perSecond() float64 {
	if len(c.samples) == 0 {
		return 0
	}
	first, last := c.samples[0], c.samples[len(c.samples)-1]
	return float64(last.tokens.Minus(first.tokens)) / max(minConsumptionWindow, last.at.Sub(first.at)).Seconds()
}

// fleetRate returns the recent consumption of a workspace at all instances, in tokens
// per second. It adds the spent sum as a sample only if it was just read from the store.
func (s *Syncer) fleetRate(workspace string, now time.Time, storeReached bool) float64 {
	c := s.fleetConsumption[workspace]
	if c == nil {
		c = &consumption{}
		s.fleetConsumption[workspace] = c
	}
	if storeReached {
		c.add(s.opts.Ledger.Spent(workspace), now)
	}
	return c.perSecond()
}

// applyResult updates the book after a transaction. It adds the rights that applied
// changes took, and undoes the returns and spend reports of rejected changes.
func (s *Syncer) applyResult(applied, rejected map[string]Change) {
	prepaid := s.opts.Prepaid()
	for w, c := range applied {
		if c.Granted == 0 {
			continue
		}
		if c.Granted > 0 {
			s.opts.Book.Add(w, c.Granted.Increase())
		}
		h := s.opts.Book.Holding(w, time.Now())
		s.opts.Log.WithFields(logrus.Fields{"workspace": w, "change": c.Granted, "granted": s.opts.Ledger.Granted(w), "prepaid": prepaid[w],
			"free": h.Free, "reserved": h.Reserved, "spent": h.Spent, "rate": int64(h.Rate)}).Info("rights changed")
	}
	for w, c := range rejected {
		if c.Granted < 0 {
			s.opts.Book.Add(w, c.Granted.Decrease())
		}
		s.opts.Book.RestoreUnreported(w, c.Spent)
	}
}

// ReturnAll returns all free rights to the store and reports what was spent. It must be
// called only after Run has returned and no request is in flight. It makes up to
// Timing.MaxAttempts attempts and returns the error of the last one, or
// failure.Conflict if that one was rejected.
func (s *Syncer) ReturnAll(ctx context.Context) error {
	var lastErr error
	for i := range s.opts.Timing.MaxAttempts {
		if _, changed := s.opts.Ledger.NewEra(); changed {
			_ = s.refresh(ctx) // fails again below if it fails here
		}
		applied, rejected, err := s.opts.Ledger.ResolvePending(ctx)
		s.applyResult(applied, rejected)
		if err == nil {
			changes := map[string]Change{}
			prepaid := s.opts.Prepaid()
			for w := range prepaid {
				if free := s.opts.Book.Holding(w, time.Now()).Free; free > 0 {
					changes[w] = s.removeForReturn(w, free)
				}
			}
			for w := range prepaid {
				if s.opts.Book.Holding(w, time.Now()).Unreported > 0 {
					changes[w] = Change{Granted: changes[w].Granted}
				}
			}
			s.addSpendReports(prepaid, changes)
			if len(changes) == 0 {
				return nil
			}
			applied, rejected, err = s.opts.Ledger.Apply(ctx, changes)
			s.applyResult(applied, rejected)
			if err == nil && rejected == nil {
				return nil
			}
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
		wait.Sleep(ctx, s.conflictDelay(i, maxConflictDoublings))
	}
	if lastErr == nil {
		lastErr = failure.New(failure.Conflict, "the free rights stay granted", "return rights to the store: the last transaction conflicted with another instance")
	}
	return lastErr
}
