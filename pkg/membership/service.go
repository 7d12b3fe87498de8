package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Service tracks the live instances. A mutex guards the state; readers use an
// immutable snapshot and take no lock.
type Service struct {
	self     peer.Identity
	caller   peer.Caller
	opts     Options
	metrics  metrics
	calls    sync.WaitGroup
	trigger  chan struct{}
	snapshot atomic.Pointer[snapshot]

	mu            sync.Mutex
	members       map[string]*member // by address
	draining      bool
	report        Report
	view          view
	statusVersion uint32
	viewVersion   uint32
}

type metrics struct {
	live       prometheus.Gauge
	heartbeats *prometheus.CounterVec
	lost       prometheus.Counter
}

// New returns a service that has no members but this instance and the seeds. A
// nil reg leaves the metrics unregistered.
func New(self peer.Identity, caller peer.Caller, opts Options, reg prometheus.Registerer) *Service {
	f := promauto.With(reg)
	s := &Service{
		self: self, caller: caller, opts: opts.withDefaults(), members: map[string]*member{}, trigger: make(chan struct{}, 1),
		metrics: metrics{
			live: f.NewGauge(prometheus.GaugeOpts{
				Name: "clementinerack_membership_live",
				Help: "Live instances of the local failure domain, including this one.",
			}),
			heartbeats: f.NewCounterVec(prometheus.CounterOpts{
				Name: "clementinerack_membership_heartbeats_total",
				Help: "Heartbeats that this instance sent, by result.",
			}, []string{"result"}),
			lost: f.NewCounter(prometheus.CounterOpts{
				Name: "clementinerack_membership_lost_total",
				Help: "Instances of the local failure domain whose heartbeats timed out.",
			}),
		},
		statusVersion: firstVersion(self.Incarnation), viewVersion: firstVersion(self.Incarnation),
	}
	for _, address := range s.opts.Seeds {
		if m := s.addAddress(address, ""); m != nil {
			m.seed = true
		}
	}
	s.updateView()
	return s
}

// Register registers the heartbeat handler.
func (s *Service) Register(r peer.Registrar) { r.Handle(MethodHeartbeat, s.handleHeartbeat) }

// Run sends heartbeats until ctx ends. It returns when all its calls have
// ended.
func (s *Service) Run(ctx context.Context) {
	defer s.calls.Wait()
	if s.opts.Lister != nil {
		s.calls.Go(func() { s.pollList(ctx) })
	}
	tickInterval := s.opts.HeartbeatInterval / ticksPerHeartbeat
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for tick := 0; ; tick++ {
		now := time.Now()
		s.runTick(ctx, now, now.Sub(lastTick)-tickInterval, tick)
		lastTick = now
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.trigger:
		}
	}
}

// runTick checks timeouts, publishes the local state and sends the heartbeats
// that are due. pause is the time by which the tick is late; from one heartbeat
// interval on it does not count towards the timeouts of the members.
func (s *Service) runTick(ctx context.Context, now time.Time, pause time.Duration, tick int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, m := range s.members {
		if pause >= s.opts.HeartbeatInterval {
			m.compensatePause(now, pause)
		}
		if sameDomain := m.domain == s.self.Domain; m.checkTimeout(now, s.opts.HeartbeatTimeout, sameDomain) && sameDomain {
			s.metrics.lost.Inc()
			s.logChange(m, "instance is silent")
		}
		if m.isForgettable(now) {
			delete(s.members, address)
		}
	}
	s.updateReport()
	s.updateView()
	for _, m := range s.dueMembers(now, tick) {
		s.sendHeartbeat(ctx, m, now)
	}
}

// sendHeartbeat starts a heartbeat call to m. It must be called with mu held.
func (s *Service) sendHeartbeat(ctx context.Context, m *member, now time.Time) {
	m.callInFlight, m.lastSent = true, now
	request, incarnation := s.newHeartbeat(m), m.id.Incarnation
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.opts.HeartbeatTimeout)
		defer cancel()
		var answer heartbeat
		err := s.caller.Call(callCtx, m.address, MethodHeartbeat, request, &answer)
		s.handleAnswer(m, incarnation, answer, err)
	})
}

func (s *Service) handleAnswer(m *member, incarnation string, answer heartbeat, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.callInFlight = false
	if err != nil {
		m.failed = true
		s.metrics.heartbeats.WithLabelValues("failed").Inc()
		return
	}
	s.metrics.heartbeats.WithLabelValues("answered").Inc()
	switch {
	case answer.Status != nil:
		if answer.Status.Identity.Address != m.address {
			m.failed = true // an alias of an instance that is known by its own address
		}
		s.recordHeartbeat(answer.Status.Identity, answer, true)
	case m.id.Incarnation == incarnation && incarnation != "":
		s.recordHeartbeat(m.id, answer, true)
	}
}

// handleHeartbeat answers a heartbeat of a peer.
func (s *Service) handleHeartbeat(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var hb heartbeat
	if err := peer.Unmarshal(body, &hb); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordHeartbeat(from, hb, false)
	m := s.members[from.Address]
	if m == nil || m.id.Incarnation != from.Incarnation {
		m = &member{} // not recorded, so it gets a full answer
	}
	return s.newHeartbeat(m), nil
}

// recordHeartbeat records a heartbeat of id. answered is true for the answer to
// a call of this instance, which shows that id is at its address now. It must
// be called with mu held, which it releases while it calls OnReport.
func (s *Service) recordHeartbeat(id peer.Identity, hb heartbeat, answered bool) {
	if id.Incarnation == s.self.Incarnation {
		return
	}
	m := s.addAddress(id.Address, id.Domain)
	if m == nil || !m.setIncarnation(id, answered) {
		return
	}
	if !m.live {
		s.logChange(m, "instance is live")
	}
	if m.applyHeartbeat(hb, time.Now()) {
		s.updateView()
	}
	if hb.View != nil {
		s.addViewAddresses(id.Domain, *hb.View)
	}
	if m.statusVersion == 0 {
		return // no report received yet
	}
	report := m.report
	s.mu.Unlock()
	s.opts.OnReport(id, report)
	s.mu.Lock()
}

func (s *Service) addViewAddresses(domain string, v view) {
	for _, address := range v.Domain {
		s.addAddress(address, domain)
	}
	for other, addresses := range v.Contacts {
		for _, address := range addresses {
			s.addAddress(address, other)
		}
	}
}

// addAddress returns the member at address and adds it if there is room. It
// returns nil for the address of this instance, for an empty one, and when
// there is no room. It must be called with mu held.
func (s *Service) addAddress(address, domain string) *member {
	if address == s.self.Address || address == "" {
		return nil
	}
	m := s.members[address]
	if m == nil {
		if len(s.members) >= maxAddresses {
			return nil
		}
		m = &member{address: address}
		s.members[address] = m
	}
	if m.domain == "" {
		m.domain = domain
	}
	m.lastMentioned = time.Now()
	return m
}

// newHeartbeat returns the heartbeat to send to m. It must be called with mu
// held.
func (s *Service) newHeartbeat(m *member) heartbeat {
	hb := heartbeat{StatusVersion: s.statusVersion, ViewVersion: s.viewVersion, AckedStatus: m.statusVersion, AckedView: m.viewVersion}
	if m.ackedStatus != s.statusVersion {
		hb.Status = &status{Identity: s.self, Report: s.report}
	}
	if m.ackedView != s.viewVersion {
		v := s.view
		hb.View = &v
	}
	return hb
}

// SetDraining sets whether heartbeats report this instance as draining.
func (s *Service) SetDraining(draining bool) {
	s.mu.Lock()
	s.draining = draining
	s.updateReport()
	s.updateView()
	s.mu.Unlock()
	s.TriggerHeartbeats()
}

// TriggerHeartbeats makes Run check at once which heartbeats are due, so that a
// changed report does not wait for the next tick.
func (s *Service) TriggerHeartbeats() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// pollList adds the addresses of the platform's list until ctx ends.
func (s *Service) pollList(ctx context.Context) {
	for {
		s.fetchList(ctx)
		wait := s.opts.ListInterval
		if len(s.snapshot.Load().byIncarnation) == 1 {
			wait = min(wait, isolatedListInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.applyJitter(wait)):
		}
	}
}

// applyJitter shortens d by up to a quarter, depending on the incarnation, so
// that instances that start together do not poll together.
func (s *Service) applyJitter(d time.Duration) time.Duration {
	return d - time.Duration(firstVersion(s.self.Incarnation)%256)*d/1024
}

func (s *Service) fetchList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := s.opts.Lister.Instances(ctx, kvstore.EntryService)
	if err != nil {
		return // retried at the next poll; seeds and peers suffice until then
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range list {
		if in.State == kvstore.Live {
			s.addAddress(in.Address, in.Domain)
		}
	}
}

// logChange logs a liveness change of an instance of the local domain.
func (s *Service) logChange(m *member, text string) {
	if s.opts.Log != nil && m.domain == s.self.Domain {
		s.opts.Log.WithField("instance", m.id.Instance).WithField("address", m.address).Info(text)
	}
}
