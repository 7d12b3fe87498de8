package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

const (
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
	// storeReadInterval is the minimum delay between two reads of what the other instances
	// refuse while too few of them answer.
	storeReadInterval = time.Second
	// refusalTTL is how long requests are refused.
	refusalTTL = 10 * time.Minute
	// reportTTL is how long a report is kept for collectors that take the place of others.
	reportTTL = time.Minute
	// maxMissedLists is the age of the list of instances from which this instance may have
	// missed a refusal: more than one round of package roster.
	maxMissedLists = 4 * time.Second
	// maxWitnesses bounds the endpoints, and the instances, that are tried to tell the death
	// of one endpoint from a partition.
	maxWitnesses = 4
	// maxCulpritEvents bounds the events that wait for the control goroutine.
	maxCulpritEvents = 1024
)

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

// culpritOptions are the dependencies of a culpritFinder.
type culpritOptions struct {
	self   peer.Identity
	peers  peer.Caller
	roster culpritRoster
	store  culpritStore
	prober endpointProber
	// storeEra returns the era of the store; see kvstore.EraOf.
	storeEra func() uint64
	// endpoints returns the endpoints of all services.
	endpoints func() []catalog.Endpoint
	refusals  *quarantine.Refusals
	survivals *quarantine.Survivals
	log       logrus.FieldLogger
}

// culpritFinder finds the requests and the parts of prompts that crash endpoints and has them
// refused at all instances. Each instance reports the endpoints that died under its
// requests to the collectors. A collector attributes the deaths, asks all instances which
// traits survived, and tells all of them what to refuse.
type culpritFinder struct {
	culpritOptions
	events chan func(context.Context) // run by the control goroutine

	// The fields below belong to the control goroutine.

	gathering   map[string]*gathering // by endpoint
	attribution quarantine.Attribution
	collectors  *quarantine.Collectors
	unexplained quarantine.Interruptions
	decided     bool // this instance has refused a culprit by itself
	undecided   bool // the latest review lacked answers
	reviewing   bool // a review is due or running
	reviewAgain bool // deaths were reported during the review
	reports     []*ownReport
	adopted     []*adoption
	savedEra    uint64          // era of the store in which adopted was saved
	told        map[string]int  // by incarnation: how many of adopted it knows
	telling     map[string]bool // by incarnation: a call is running
	synced      bool            // what the fleet refuses is known
	syncing     bool
	learnedAt   time.Time // when learnFromStore last read the store
}

// gathering collects the traits of requests that an endpoint interrupted.
type gathering struct {
	endpoint catalog.Endpoint
	at       time.Time
	traits   map[quarantine.Trait]bool
	ending   quarantine.Ending // the strongest evidence
}

// ownReport is a report of this instance with the collectors that have it.
type ownReport struct {
	deathReport
	at       time.Time
	received map[string]bool // by incarnation
	sending  map[string]bool
}

func newCulpritFinder(options culpritOptions) *culpritFinder {
	return &culpritFinder{
		culpritOptions: options, events: make(chan func(context.Context), maxCulpritEvents),
		collectors: quarantine.NewCollectors(), gathering: map[string]*gathering{}, told: map[string]int{}, telling: map[string]bool{},
	}
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
		f.tryPost(func(ctx context.Context) { f.liftEverywhere(ctx, c) })
	}
}

// RecordInterruption implements gateway.CrashGuard. It does not block; an interruption is
// dropped if too many wait.
func (f *culpritFinder) RecordInterruption(endpoint catalog.Endpoint, traits []quarantine.Trait, ending quarantine.Ending) {
	f.tryPost(func(ctx context.Context) { f.gather(ctx, endpoint, traits, ending) })
}

// post has the control goroutine run an event. It waits for room until ctx ends.
func (f *culpritFinder) post(ctx context.Context, event func(context.Context)) {
	select {
	case f.events <- event:
	case <-ctx.Done():
	}
}

// tryPost is like post, but drops the event if too many wait.
func (f *culpritFinder) tryPost(event func(context.Context)) {
	select {
	case f.events <- event:
	default:
	}
}

// postAfter posts an event after a delay.
func (f *culpritFinder) postAfter(ctx context.Context, delay time.Duration, event func(context.Context)) {
	time.AfterFunc(delay, func() { f.post(ctx, event) })
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
func (f *culpritFinder) gather(ctx context.Context, endpoint catalog.Endpoint, traits []quarantine.Trait, ending quarantine.Ending) {
	g := f.gathering[endpoint.ID]
	if g == nil {
		g = &gathering{endpoint: endpoint, at: time.Now(), traits: map[quarantine.Trait]bool{}}
		f.gathering[endpoint.ID] = g
		f.postAfter(ctx, gatherDelay, func(ctx context.Context) { f.checkEndpoint(ctx, endpoint.ID) })
	}
	for _, t := range traits {
		g.traits[t] = true
	}
	g.ending = max(g.ending, ending)
}

// checkEndpoint reports the gathered interruptions of an endpoint if it has died. If that
// cannot be shown, the list of endpoints may show it later.
func (f *culpritFinder) checkEndpoint(ctx context.Context, id string) {
	g := f.gathering[id]
	delete(f.gathering, id)
	interruption := quarantine.Interruption{Endpoint: g.endpoint, Traits: slices.Sorted(maps.Keys(g.traits)), At: g.at}
	witnesses, listed := f.witnesses(g.endpoint, time.Now()), f.endpoints()
	go func() {
		isDead := f.isDead(ctx, g, witnesses)
		f.post(ctx, func(ctx context.Context) {
			switch {
			case isDead:
				f.reportDeath(ctx, interruption, "connection")
			case g.ending != quarantine.EndedHere:
				f.unexplained.Add(interruption, listed)
			}
		})
	}()
}

// explainInterruptions reports the endpoints that have left the list soon after they
// interrupted requests.
func (f *culpritFinder) explainInterruptions(ctx context.Context, now time.Time) {
	if f.unexplained.Len() == 0 {
		return
	}
	for _, interruption := range f.unexplained.Explain(f.endpoints(), now) {
		f.reportDeath(ctx, interruption, "list")
	}
}

// reportDeath reports a death to the collectors. evidence says in the log what has shown it.
func (f *culpritFinder) reportDeath(ctx context.Context, i quarantine.Interruption, evidence string) {
	f.log.WithField("endpoint", i.Endpoint.ID).WithField("traits", len(i.Traits)).WithField("evidence", evidence).
		WithField("age_ms", time.Since(i.At).Milliseconds()).Info("death of an endpoint is reported to the collectors")
	f.reports = append(f.reports, &ownReport{deathReport: deathReport{Endpoint: i.Endpoint.ID, Traits: i.Traits}, at: i.At, received: map[string]bool{}, sending: map[string]bool{}})
	f.sendReports(ctx, time.Now())
}

// isDead reports whether an endpoint has died by itself: it accepts no connections, and one of
// its witnesses, if there are any, accepts them. A partition would cut off all of them.
func (f *culpritFinder) isDead(ctx context.Context, g *gathering, witnesses []quarantine.Place) bool {
	connectErr := f.tryConnect(ctx, g.endpoint.Address)
	log := f.log.WithField("endpoint", g.endpoint.ID)
	if !g.ending.ShowsDeath(connectErr) {
		log.WithField("ending", g.ending).WithField("connect_error", connectErr).Debug("endpoint interrupted requests and is not known to be dead")
		return false
	}
	if len(witnesses) == 0 || f.anyAccepts(ctx, witnesses) {
		return true
	}
	log.WithField("witnesses", len(witnesses)).Info("endpoint is unreachable with its failure domain")
	return false
}

// witnesses returns the places that can tell the death of an endpoint from a partition. Silent
// instances are left out, which may be lost.
func (f *culpritFinder) witnesses(endpoint catalog.Endpoint, now time.Time) []quarantine.Place {
	var instances []quarantine.Place
	for _, other := range f.roster.Others() {
		if !f.collectors.IsSilent(other.Incarnation, now) {
			instances = append(instances, quarantine.Place{Address: other.Address, Domain: other.Domain})
		}
	}
	return append(chooseWitnesses(quarantine.Witnesses(endpoint, f.self.Domain, nil, instances)),
		chooseWitnesses(quarantine.Witnesses(endpoint, f.self.Domain, f.endpoints(), nil))...)
}

// chooseWitnesses returns up to maxWitnesses of the places at random.
func chooseWitnesses(places []quarantine.Place) []quarantine.Place {
	rand.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
	return places[:min(maxWitnesses, len(places))]
}

// anyAccepts reports whether one of the places accepts a connection. They are tried at the
// same time, because each may take culpritCallTimeout.
func (f *culpritFinder) anyAccepts(ctx context.Context, places []quarantine.Place) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(places))
	for _, p := range places {
		go func() { results <- f.tryConnect(ctx, p.Address) }()
	}
	for range places {
		if <-results == nil {
			return true
		}
	}
	return false
}

func (f *culpritFinder) tryConnect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
	defer cancel()
	return f.prober.TryConnect(ctx, address)
}

// rankCollectors returns the collectors in order of their rank, and the rank of this instance
// or -1.
func (f *culpritFinder) rankCollectors(now time.Time) (ranked []peer.Identity, rank int) {
	return f.collectors.Rank(append(f.roster.Others(), f.self), f.self.Incarnation, now)
}

// sendReports sends the reports to the collectors that do not have them.
func (f *culpritFinder) sendReports(ctx context.Context, now time.Time) {
	f.reports = slices.DeleteFunc(f.reports, func(r *ownReport) bool { return now.Sub(r.at) > reportTTL })
	if len(f.reports) == 0 {
		return
	}
	listed := append(f.roster.Others(), f.self)
	for _, r := range f.reports {
		for _, collector := range f.collectors.Recipients(listed, f.self.Incarnation, func(to string) bool { return r.received[to] }, now) {
			if r.sending[collector.Incarnation] {
				continue
			}
			if collector.Incarnation == f.self.Incarnation {
				r.received[collector.Incarnation] = true
				f.recordDeath(ctx, r.deathReport, r.at)
				continue
			}
			r.sending[collector.Incarnation] = true
			report := r.deathReport
			report.Age = now.Sub(r.at)
			f.call(ctx, collector, deathMethod, report, nil, func(ctx context.Context, err error) {
				delete(r.sending, collector.Incarnation)
				if r.received[collector.Incarnation] = err == nil; err != nil {
					f.sendReports(ctx, time.Now()) // to the instances of the next ranks
				}
			})
		}
	}
}

// call calls another instance and has the control goroutine run done with the result.
func (f *culpritFinder) call(ctx context.Context, to peer.Identity, method peer.Method, req, resp any, done func(context.Context, error)) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
		defer cancel()
		err := f.peers.Call(callCtx, to.Address, method, req, resp)
		f.post(ctx, func(ctx context.Context) {
			f.collectors.RecordCall(to.Incarnation, err == nil || failure.Is(err, failure.NotReady), time.Now())
			done(ctx, err)
		})
	}()
}

// recordDeath records a reported death and schedules a review.
func (f *culpritFinder) recordDeath(ctx context.Context, r deathReport, at time.Time) {
	f.attribution.RecordDeath(r.Endpoint, r.Traits, at)
	if f.reviewing {
		f.reviewAgain = true
		return
	}
	f.scheduleReview(ctx)
}

func (f *culpritFinder) scheduleReview(ctx context.Context) {
	f.reviewing, f.reviewAgain = true, false
	_, rank := f.rankCollectors(time.Now())
	f.postAfter(ctx, reviewDelay+time.Duration(max(0, rank))*rankDelay, f.review)
}

// review asks all instances which suspects survived if there may be a new culprit.
func (f *culpritFinder) review(ctx context.Context) {
	now := time.Now()
	if len(f.notRefused(f.attribution.Culprits(), now)) == 0 {
		f.endReview(ctx)
		return
	}
	suspects, others := f.attribution.Suspects(), f.roster.Others()
	f.applySurvivals(suspects, f.survivalAges(suspects, now), now)
	listed := len(others) + 1
	others = slices.DeleteFunc(others, func(id peer.Identity) bool { return f.collectors.IsSilent(id.Incarnation, now) })
	if len(others) == 0 {
		f.decide(ctx, 1, listed)
		return
	}
	waiting, answered := len(others), 1
	for _, other := range others {
		reply := new(survivalsReply)
		f.call(ctx, other, survivalsMethod, survivalsQuery{suspects}, reply, func(ctx context.Context, err error) {
			if err == nil {
				answered++
				f.applySurvivals(suspects, reply.Ages, time.Now())
			}
			if waiting--; waiting == 0 {
				f.decide(ctx, answered, listed)
			}
		})
	}
}

// decide ends a review in which some of the listed instances have answered: it refuses the new
// culprits and tells the other instances.
func (f *culpritFinder) decide(ctx context.Context, answered, listed int) {
	now := time.Now()
	for _, c := range f.notRefused(f.attribution.CulpritsHeard(answered, listed), now) {
		if f.adopt(c.Traits, c.LastDeath, now, false) {
			f.decided = true
			f.log.WithField("refused", c.Traits.String()).WithField("deaths", c.Deaths).WithField("answered", answered).WithField("listed", listed).
				Warn("requests that crash endpoints are refused")
		}
	}
	isUndecided := len(f.notRefused(f.attribution.Culprits(), now)) > 0
	if isUndecided {
		if !f.undecided {
			f.log.WithField("answered", answered).WithField("listed", listed).Info("too few instances have told what survived to refuse requests after a few deaths")
		}
		f.learnFromStore(ctx, now) // the other instances may have decided
		f.reviewAgain = true
	}
	f.undecided = isUndecided
	f.round(ctx, now)
	f.endReview(ctx)
}

// endReview schedules another review if one is needed.
func (f *culpritFinder) endReview(ctx context.Context) {
	f.reviewing = false
	if f.reviewAgain {
		f.scheduleReview(ctx)
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

// notRefused returns the culprits that are not refused.
func (f *culpritFinder) notRefused(culprits []quarantine.Culprit, now time.Time) []quarantine.Culprit {
	active := f.refusals.Active(now)
	return slices.DeleteFunc(culprits, func(c quarantine.Culprit) bool {
		return slices.ContainsFunc(active, func(a quarantine.Combination) bool { return slices.Equal(a, c.Traits) })
	})
}
