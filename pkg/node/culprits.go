package node

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

// Methods between the instances that report dead endpoints and the collectors.
const (
	// deathMethod reports an endpoint that died to a collector.
	deathMethod peer.Method = "quarantine.death"
	// survivalsMethod asks an instance when endpoints survived requests with given traits.
	survivalsMethod peer.Method = "quarantine.survivals"
	// refuseMethod tells an instance which combinations of traits to refuse.
	refuseMethod peer.Method = "quarantine.refuse"
	// refusalsMethod asks an instance which combinations it refuses.
	refusalsMethod peer.Method = "quarantine.refusals"
	// liftMethod tells an instance that a request with a refused combination ended well.
	liftMethod peer.Method = "quarantine.lift"
)

// culpritPrefix is the key prefix under which collectors store what is refused, so that
// it outlasts the end of all instances.
const culpritPrefix = "quarantine/"

const (
	// collectorCount is the number of instances that collect the deaths of the fleet. Each
	// decides by itself, so that the others go on when one ends.
	collectorCount = 3
	// gatherDelay is the time in which interruptions by the death of an endpoint arrive.
	gatherDelay = 20 * time.Millisecond
	// reviewDelay is the time between the report of a death and the review of all deaths:
	// in it most sound requests survive elsewhere. The collector of the next rank waits
	// rankDelay longer, so that usually only the first one asks all instances.
	reviewDelay, rankDelay = 250 * time.Millisecond, 250 * time.Millisecond
	// culpritCallTimeout bounds a call to another instance or to the store.
	culpritCallTimeout = 500 * time.Millisecond
	// culpritInterval is the delay between rounds that repeat failed calls.
	culpritInterval = 500 * time.Millisecond
	// refusalTTL is how long requests are refused.
	refusalTTL = 10 * time.Minute
	// reportTTL is how long a report is kept for collectors that take the place of others.
	reportTTL = time.Minute
	// maxMissedLists is the age of the list of instances from which this instance may have
	// missed a refusal: more than one round of package roster.
	maxMissedLists = 4 * time.Second
	// maxNeighbors bounds the endpoints of a failure domain that are tried to tell the death
	// of one endpoint from a partition.
	maxNeighbors = 4
	// maxCulpritEvents bounds the events that wait for the control goroutine.
	maxCulpritEvents = 1024
)

// deathReport is the message of deathMethod.
type deathReport struct {
	Endpoint string             `cbor:"1,keyasint"`
	Traits   []quarantine.Trait `cbor:"2,keyasint"`
	// Age is the time since the death.
	Age time.Duration `cbor:"3,keyasint"`
}

// survivalsQuery is the message of survivalsMethod.
type survivalsQuery struct {
	Traits []quarantine.Trait `cbor:"1,keyasint"`
}

// survivalsReply answers survivalsMethod.
type survivalsReply struct {
	// Ages holds for each trait of the query the time since its latest survival, or
	// noSurvival.
	Ages []time.Duration `cbor:"1,keyasint"`
}

const noSurvival = time.Duration(-1)

// refusalsMessage is the message of refuseMethod and the reply to refusalsMethod.
type refusalsMessage struct {
	Refused []refusedCombination `cbor:"1,keyasint,omitempty"`
}

// refusedCombination is a combination with the time since the latest death under it.
type refusedCombination struct {
	Traits quarantine.Combination `cbor:"1,keyasint"`
	Age    time.Duration          `cbor:"2,keyasint"`
}

// liftMessage is the message of liftMethod.
type liftMessage struct {
	Traits quarantine.Combination `cbor:"1,keyasint"`
}

// culpritRoster is the part of the roster that a culpritFinder uses.
type culpritRoster interface {
	Others() []peer.Identity
	IsSettled() bool
	ListedAt() time.Time
}

// culpritStore is the part of the store that a culpritFinder uses.
type culpritStore interface {
	kvstore.Transactor
	kvstore.RangeReader
}

// endpointProber opens connections to endpoints.
type endpointProber interface {
	TryConnect(ctx context.Context, address string) error
}

// culpritFinder finds the parts of prompts that crash endpoints and has requests with them
// refused at all instances. Each instance reports the endpoints that died under its
// requests to the collectors. A collector attributes the deaths, asks all instances which
// traits survived, and tells all of them what to refuse.
type culpritFinder struct {
	self   peer.Identity
	peers  peer.Caller
	roster culpritRoster
	store  culpritStore
	prober endpointProber
	// endpoints returns the endpoints of all services.
	endpoints func() []catalog.Endpoint
	log       logrus.FieldLogger

	refusals  *quarantine.Refusals
	survivals *quarantine.Survivals
	events    chan func(context.Context) // run by the control goroutine

	// The fields below belong to the control goroutine.

	gathering   map[string]*gathering // by endpoint
	attribution quarantine.Attribution
	reviewing   bool // a review is due or running
	reviewAgain bool // deaths were reported during the review
	reports     []*ownReport
	adopted     []*adoption
	told        map[string]int  // by incarnation: how many of adopted it knows
	telling     map[string]bool // by incarnation: a call is running
	synced      bool            // what the fleet refuses is known
	syncing     bool
}

// gathering collects the traits of requests that an endpoint interrupted.
type gathering struct {
	endpoint catalog.Endpoint
	traits   map[quarantine.Trait]bool
}

// ownReport is a report of this instance with the collectors that have it.
type ownReport struct {
	deathReport
	at       time.Time
	received map[string]bool // by incarnation
	sending  map[string]bool
}

// adoption is a combination that this instance refuses.
type adoption struct {
	quarantine.Combination
	evidence time.Time // of the latest death under it
	until    time.Time
	stored   bool // by this or another instance
	saving   bool
}

func newCulpritFinder(f culpritFinder) *culpritFinder {
	f.events = make(chan func(context.Context), maxCulpritEvents)
	f.gathering, f.told, f.telling = map[string]*gathering{}, map[string]int{}, map[string]bool{}
	return &f
}

// CheckTraits returns an error if requests with the given traits are refused.
func (f *culpritFinder) CheckTraits(traits []quarantine.Trait, now time.Time) error {
	return f.refusals.Check(traits, now)
}

// RecordSurvival records that an endpoint survived a request with the given traits. If such
// requests are refused, they are refused no longer.
func (f *culpritFinder) RecordSurvival(traits []quarantine.Trait, now time.Time) {
	f.survivals.Record(traits, now)
	for _, c := range f.refusals.Matching(traits, now) {
		f.post(func(ctx context.Context) { f.liftEverywhere(ctx, c) })
	}
}

// RecordInterruption implements gateway.CrashGuard. It does not block; an interruption is
// dropped if too many wait.
func (f *culpritFinder) RecordInterruption(endpoint catalog.Endpoint, traits []quarantine.Trait) {
	f.post(func(context.Context) { f.gather(endpoint, traits) })
}

// post has the control goroutine run an event, or drops it if too many wait.
func (f *culpritFinder) post(event func(context.Context)) {
	select {
	case f.events <- event:
	default:
	}
}

// postAfter posts an event after a delay.
func (f *culpritFinder) postAfter(delay time.Duration, event func(context.Context)) {
	time.AfterFunc(delay, func() { f.post(event) })
}

// run owns the control state until ctx ends.
func (f *culpritFinder) run(ctx context.Context) {
	rounds := time.NewTicker(culpritInterval)
	defer rounds.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			event(ctx)
		case <-rounds.C:
			f.round(ctx, time.Now())
		}
	}
}

// gather adds an interruption. The first one of an endpoint starts the check whether the
// endpoint has died.
func (f *culpritFinder) gather(endpoint catalog.Endpoint, traits []quarantine.Trait) {
	g := f.gathering[endpoint.ID]
	if g == nil {
		g = &gathering{endpoint: endpoint, traits: map[quarantine.Trait]bool{}}
		f.gathering[endpoint.ID] = g
		f.postAfter(gatherDelay, func(ctx context.Context) { f.checkEndpoint(ctx, endpoint.ID) })
	}
	for _, t := range traits {
		g.traits[t] = true
	}
}

// checkEndpoint reports the gathered interruptions of an endpoint if it has died.
func (f *culpritFinder) checkEndpoint(ctx context.Context, id string) {
	g := f.gathering[id]
	delete(f.gathering, id)
	go func() {
		if !f.isDead(ctx, g.endpoint) {
			return
		}
		f.post(func(ctx context.Context) {
			report := deathReport{Endpoint: id, Traits: slices.Sorted(maps.Keys(g.traits))}
			f.log.WithField("endpoint", id).WithField("traits", len(report.Traits)).Info("endpoint died under requests with prompts")
			f.reports = append(f.reports, &ownReport{deathReport: report, at: time.Now(), received: map[string]bool{}, sending: map[string]bool{}})
			f.sendReports(ctx, time.Now())
		})
	}()
}

// isDead reports whether an endpoint has died by itself: it refuses connections, and another
// endpoint of its failure domain, if there is one, accepts them. A timeout may be due to a
// network partition, and so may refusals by all endpoints of a domain.
func (f *culpritFinder) isDead(ctx context.Context, endpoint catalog.Endpoint) bool {
	if !errors.Is(f.tryConnect(ctx, endpoint.Address), syscall.ECONNREFUSED) {
		return false
	}
	neighbors := slices.DeleteFunc(f.endpoints(), func(e catalog.Endpoint) bool {
		return e.ID == endpoint.ID || e.Domain != endpoint.Domain
	})
	rand.Shuffle(len(neighbors), func(i, j int) { neighbors[i], neighbors[j] = neighbors[j], neighbors[i] })
	neighbors = neighbors[:min(maxNeighbors, len(neighbors))]
	if len(neighbors) == 0 || slices.ContainsFunc(neighbors, func(e catalog.Endpoint) bool { return f.tryConnect(ctx, e.Address) == nil }) {
		return true
	}
	f.log.WithField("endpoint", endpoint.ID).WithField("neighbors", len(neighbors)).Info("endpoint is unreachable with its failure domain")
	return false
}

func (f *culpritFinder) tryConnect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
	defer cancel()
	return f.prober.TryConnect(ctx, address)
}

// collectors returns the collectors in order of their rank, and the rank of this instance
// or -1. Instances that list the same members agree.
func (f *culpritFinder) collectors() (ranked []peer.Identity, rank int) {
	ranked = append(f.roster.Others(), f.self)
	slices.SortFunc(ranked, func(a, b peer.Identity) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a.Incarnation), rendezvous.Hash(b.Incarnation)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	ranked = ranked[:min(collectorCount, len(ranked))]
	return ranked, slices.IndexFunc(ranked, func(id peer.Identity) bool { return id.Incarnation == f.self.Incarnation })
}

// sendReports sends the reports to the collectors that do not have them.
func (f *culpritFinder) sendReports(ctx context.Context, now time.Time) {
	f.reports = slices.DeleteFunc(f.reports, func(r *ownReport) bool { return now.Sub(r.at) > reportTTL })
	if len(f.reports) == 0 {
		return
	}
	ranked, _ := f.collectors()
	for _, r := range f.reports {
		for _, collector := range ranked {
			if r.received[collector.Incarnation] || r.sending[collector.Incarnation] {
				continue
			}
			if collector.Incarnation == f.self.Incarnation {
				r.received[collector.Incarnation] = true
				f.recordDeath(r.deathReport, r.at)
				continue
			}
			r.sending[collector.Incarnation] = true
			report := r.deathReport
			report.Age = now.Sub(r.at)
			f.call(ctx, collector, deathMethod, report, nil, func(_ context.Context, err error) {
				delete(r.sending, collector.Incarnation)
				r.received[collector.Incarnation] = err == nil
			})
		}
	}
}

// call calls another instance and has the control goroutine run done with the result. If
// the event cannot be posted, the call counts as running and is not repeated.
func (f *culpritFinder) call(ctx context.Context, to peer.Identity, method peer.Method, req, resp any, done func(context.Context, error)) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
		defer cancel()
		err := f.peers.Call(callCtx, to.Address, method, req, resp)
		f.postWait(ctx, func(ctx context.Context) { done(ctx, err) })
	}()
}

// postWait posts an event and waits for room until ctx ends.
func (f *culpritFinder) postWait(ctx context.Context, event func(context.Context)) {
	select {
	case f.events <- event:
	case <-ctx.Done():
	}
}

// recordDeath records a reported death and schedules a review.
func (f *culpritFinder) recordDeath(r deathReport, at time.Time) {
	f.attribution.RecordDeath(r.Endpoint, r.Traits, at)
	if f.reviewing {
		f.reviewAgain = true
		return
	}
	f.scheduleReview()
}

func (f *culpritFinder) scheduleReview() {
	f.reviewing, f.reviewAgain = true, false
	_, rank := f.collectors()
	f.postAfter(reviewDelay+time.Duration(max(0, rank))*rankDelay, f.review)
}

// review asks all instances which suspects survived if there may be a new culprit.
func (f *culpritFinder) review(ctx context.Context) {
	if len(f.newCulprits(time.Now())) == 0 {
		f.endReview()
		return
	}
	suspects := f.attribution.Suspects()
	others := f.roster.Others()
	waiting, answered := len(others), 1
	f.applySurvivals(suspects, f.survivalAges(suspects, time.Now()), time.Now())
	if waiting == 0 {
		f.adoptCulprits(ctx)
		return
	}
	for _, other := range others {
		reply := new(survivalsReply)
		f.call(ctx, other, survivalsMethod, survivalsQuery{suspects}, reply, func(ctx context.Context, err error) {
			if err == nil {
				answered++
				f.applySurvivals(suspects, reply.Ages, time.Now())
			}
			if waiting--; waiting > 0 {
				return
			}
			if 2*answered < len(others)+1 {
				// In a minority behind a partition endpoints look dead that are not.
				f.reviewAgain = true
				f.endReview()
				return
			}
			f.adoptCulprits(ctx)
		})
	}
}

// endReview schedules another review if deaths were reported in the meantime.
func (f *culpritFinder) endReview() {
	f.reviewing = false
	if f.reviewAgain {
		f.scheduleReview()
	}
}

// survivalAges returns for each trait the time since its latest survival here.
func (f *culpritFinder) survivalAges(traits []quarantine.Trait, now time.Time) []time.Duration {
	ages := make([]time.Duration, len(traits))
	for i, t := range traits {
		ages[i] = noSurvival
		if at, ok := f.survivals.Latest(t); ok {
			ages[i] = max(0, now.Sub(at))
		}
	}
	return ages
}

// applySurvivals applies the ages of survivals of an instance.
func (f *culpritFinder) applySurvivals(traits []quarantine.Trait, ages []time.Duration, now time.Time) {
	for i, t := range traits[:min(len(traits), len(ages))] {
		if ages[i] >= 0 {
			f.attribution.RecordSurvival(t, now.Add(-ages[i]))
		}
	}
}

// newCulprits returns the culprits that are not refused.
func (f *culpritFinder) newCulprits(now time.Time) []quarantine.Culprit {
	active := f.refusals.Active(now)
	return slices.DeleteFunc(f.attribution.Culprits(), func(c quarantine.Culprit) bool {
		return slices.ContainsFunc(active, func(a quarantine.Combination) bool { return slices.Equal(a, c.Traits) })
	})
}

// adoptCulprits ends a review: it refuses the new culprits and tells the other instances.
func (f *culpritFinder) adoptCulprits(ctx context.Context) {
	now := time.Now()
	for _, c := range f.newCulprits(now) {
		if f.adopt(c.Traits, c.LastDeath, now, false) {
			f.log.WithField("refused", c.Traits.String()).WithField("deaths", c.Deaths).Warn("requests that crash endpoints are refused")
		}
	}
	f.round(ctx, now)
	f.endReview()
}

// adopt refuses a combination and reports whether it was not refused before.
func (f *culpritFinder) adopt(c quarantine.Combination, evidence, now time.Time, stored bool) bool {
	if c.Validate() != nil || !f.refusals.Add(c, evidence, now.Add(refusalTTL)) {
		return false
	}
	f.adopted = append(f.adopted, &adoption{Combination: c, evidence: evidence, until: now.Add(refusalTTL), stored: stored})
	f.told = map[string]int{}
	return true
}

// adoptAll adopts what another instance or the store refuses.
func (f *culpritFinder) adoptAll(refused []refusedCombination, from string) {
	now := time.Now()
	for _, c := range refused {
		if f.adopt(c.Traits, now.Add(-max(0, c.Age)), now, true) {
			f.log.WithField("refused", c.Traits.String()).WithField("from", from).Warn("requests that crash endpoints are refused")
		}
	}
}

// lift ends the refusal of a combination and reports whether there was one.
func (f *culpritFinder) lift(c quarantine.Combination, now time.Time) bool {
	for _, t := range c {
		f.attribution.RecordSurvival(t, now)
	}
	f.refusals.Lift(c, now)
	count := len(f.adopted)
	f.adopted = slices.DeleteFunc(f.adopted, func(a *adoption) bool { return slices.Equal(a.Combination, c) })
	f.told = map[string]int{}
	return len(f.adopted) < count
}

// liftEverywhere ends a refusal at all instances and in the store after a request with the
// combination ended well.
func (f *culpritFinder) liftEverywhere(ctx context.Context, c quarantine.Combination) {
	if !f.lift(c, time.Now()) {
		return
	}
	f.log.WithField("lifted", c.String()).Warn("a refused request ended well; such requests are no longer refused")
	for _, other := range f.roster.Others() {
		f.call(ctx, other, liftMethod, liftMessage{c}, nil, func(context.Context, error) {}) // an instance that misses it sees such requests end well itself or refuses them until refusalTTL
	}
	f.commit(ctx, kvstore.Transaction{Remove: []string{culpritKey(c)}}, func(error) {}) // a key that stays is refused again only after the next start of the fleet
}

// round repeats what has not succeeded yet.
func (f *culpritFinder) round(ctx context.Context, now time.Time) {
	f.sendReports(ctx, now)
	f.expire(ctx, now)
	f.sync(ctx, now)
	if len(f.adopted) == 0 {
		return
	}
	if _, rank := f.collectors(); rank < 0 {
		return
	}
	f.tellOthers(ctx)
	f.save(ctx)
}

// tellOthers tells the instances that do not know it what is refused.
func (f *culpritFinder) tellOthers(ctx context.Context) {
	message := refusalsMessage{f.refused(time.Now())}
	for _, other := range f.roster.Others() {
		if f.told[other.Incarnation] == len(f.adopted) || f.telling[other.Incarnation] {
			continue
		}
		known := len(f.adopted)
		f.telling[other.Incarnation] = true
		f.call(ctx, other, refuseMethod, message, nil, func(_ context.Context, err error) {
			delete(f.telling, other.Incarnation)
			if err == nil && known == len(f.adopted) {
				f.told[other.Incarnation] = known
			}
		})
	}
}

// refused returns what this instance refuses.
func (f *culpritFinder) refused(now time.Time) []refusedCombination {
	var all []refusedCombination
	for _, a := range f.adopted {
		all = append(all, refusedCombination{a.Combination, now.Sub(a.evidence)})
	}
	return all
}

// save writes the adoptions that no instance has stored to the store. The key depends on
// the combination alone, so that it does not matter who writes it.
func (f *culpritFinder) save(ctx context.Context) {
	for _, a := range f.adopted {
		if a.stored || a.saving {
			continue
		}
		value, err := peer.Marshal(a.Combination)
		if err != nil {
			f.log.WithError(err).Error("cannot encode a refused combination")
			a.stored = true
			continue
		}
		a.saving = true
		f.commit(ctx, kvstore.Transaction{Write: []kvstore.Write{{Key: culpritKey(a.Combination), Value: value}}}, func(err error) {
			a.saving, a.stored = false, err == nil
		})
	}
}

func culpritKey(c quarantine.Combination) string { return culpritPrefix + c.Key() }

// commit commits a transaction and has the control goroutine run done with the result.
func (f *culpritFinder) commit(ctx context.Context, t kvstore.Transaction, done func(error)) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
		defer cancel()
		_, _, err := f.store.Commit(callCtx, t)
		f.postWait(ctx, func(context.Context) { done(err) })
	}()
}

// expire forgets the adoptions that have ended. The first collector removes them from the
// store.
func (f *culpritFinder) expire(ctx context.Context, now time.Time) {
	for _, a := range f.adopted {
		if now.Before(a.until) {
			continue
		}
		if _, rank := f.collectors(); rank == 0 {
			f.commit(ctx, kvstore.Transaction{Remove: []string{culpritKey(a.Combination)}}, func(error) {}) // a key that stays is refused again only after the next start of the fleet
		}
	}
	f.adopted = slices.DeleteFunc(f.adopted, func(a *adoption) bool { return !now.Before(a.until) })
}

// sync learns what the fleet refuses at the start, and after a time in which this instance
// may have missed something: from a collector, or from the store if it is one itself.
func (f *culpritFinder) sync(ctx context.Context, now time.Time) {
	listedAt := f.roster.ListedAt()
	if !listedAt.IsZero() && now.Sub(listedAt) > maxMissedLists {
		f.synced = false
	}
	if f.synced || f.syncing || listedAt.IsZero() || now.Sub(listedAt) > maxMissedLists {
		return
	}
	ranked, rank := f.collectors()
	if rank >= 0 {
		if f.roster.IsSettled() {
			f.syncing = true
			f.readStore(ctx)
		}
		return
	}
	f.syncing = true
	reply := new(refusalsMessage)
	collector := ranked[int(now.UnixNano()/int64(culpritInterval))%len(ranked)]
	f.call(ctx, collector, refusalsMethod, struct{}{}, reply, func(_ context.Context, err error) {
		f.syncing, f.synced = false, err == nil
		f.adoptAll(reply.Refused, collector.Instance)
	})
}

// readStore adopts what the store holds.
func (f *culpritFinder) readStore(ctx context.Context) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
		defer cancel()
		items, _, err := f.store.Range(callCtx, culpritPrefix, false)
		f.postWait(ctx, func(context.Context) {
			f.syncing, f.synced = false, err == nil
			var stored []refusedCombination
			for _, item := range items {
				var c quarantine.Combination
				if err := peer.Unmarshal(item.Value, &c); err != nil {
					f.log.WithError(err).WithField("key", item.Key).Warn("cannot decode a refused combination")
					continue
				}
				stored = append(stored, refusedCombination{Traits: c})
			}
			f.adoptAll(stored, "store")
		})
	}()
}

// registerPeer registers the handlers of the methods.
func (f *culpritFinder) registerPeer(reg peer.Registrar) {
	reg.Handle(deathMethod, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var report deathReport
		if err := peer.Unmarshal(body, &report); err != nil {
			return nil, err
		}
		f.postWait(ctx, func(context.Context) { f.recordDeath(report, time.Now().Add(-max(0, report.Age))) })
		return struct{}{}, ctx.Err()
	})
	reg.Handle(survivalsMethod, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var query survivalsQuery
		if err := peer.Unmarshal(body, &query); err != nil {
			return nil, err
		}
		return survivalsReply{f.survivalAges(query.Traits, time.Now())}, nil
	})
	reg.Handle(refuseMethod, func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		var message refusalsMessage
		if err := peer.Unmarshal(body, &message); err != nil {
			return nil, err
		}
		f.postWait(ctx, func(context.Context) { f.adoptAll(message.Refused, from.Instance) })
		return struct{}{}, ctx.Err()
	})
	reg.Handle(liftMethod, func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		var message liftMessage
		if err := peer.Unmarshal(body, &message); err != nil {
			return nil, err
		}
		f.postWait(ctx, func(context.Context) {
			if f.lift(message.Traits, time.Now()) {
				f.log.WithField("lifted", message.Traits.String()).WithField("from", from.Instance).Warn("a refused request ended well; such requests are no longer refused")
			}
		})
		return struct{}{}, ctx.Err()
	})
	reg.Handle(refusalsMethod, func(ctx context.Context, _ peer.Identity, _ []byte) (any, error) {
		reply := make(chan any, 1)
		f.postWait(ctx, func(context.Context) {
			if !f.synced {
				reply <- failure.New(failure.NotReady, "ask again", "this instance does not know yet what is refused")
				return
			}
			reply <- refusalsMessage{f.refused(time.Now())}
		})
		select {
		case r := <-reply:
			if err, ok := r.(*failure.Error); ok {
				return nil, err
			}
			return r, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}
