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

// Service keeps the list of live instances. The state is behind one mutex, and
// reads use a snapshot without it.
type Service struct {
	self    peer.Identity
	caller  peer.Caller
	opts    Options
	metrics metrics
	calls   sync.WaitGroup
	kick    chan struct{}
	snap    atomic.Pointer[snapshot]

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

// New returns a service that knows only itself. reg may be nil.
func New(self peer.Identity, caller peer.Caller, opts Options, reg prometheus.Registerer) *Service {
	f := promauto.With(reg)
	s := &Service{
		self: self, caller: caller, opts: opts.withDefaults(), members: map[string]*member{}, kick: make(chan struct{}, 1),
		metrics: metrics{
			live: f.NewGauge(prometheus.GaugeOpts{
				Name: "clementinerack_membership_live",
				Help: "Live instances of the own failure domain, this one included.",
			}),
			heartbeats: f.NewCounterVec(prometheus.CounterOpts{
				Name: "clementinerack_membership_heartbeats_total",
				Help: "Heartbeats that this instance sent, by result.",
			}, []string{"result"}),
			lost: f.NewCounter(prometheus.CounterOpts{
				Name: "clementinerack_membership_lost_total",
				Help: "Instances of the own failure domain that fell silent.",
			}),
		},
		statusVersion: firstVersion(self.Incarnation), viewVersion: firstVersion(self.Incarnation),
	}
	for _, address := range s.opts.Seeds {
		if m := s.learn(address, ""); m != nil {
			m.seed = true
		}
	}
	s.refresh()
	return s
}

// Register registers the handler of heartbeats.
func (s *Service) Register(r peer.Registrar) { r.Handle(MethodHeartbeat, s.handle) }

// Run sends heartbeats until ctx ends and returns when no call is open.
func (s *Service) Run(ctx context.Context) {
	defer s.calls.Wait()
	if s.opts.Lister != nil {
		s.calls.Go(func() { s.pollList(ctx) })
	}
	period := s.opts.HeartbeatInterval / stepsPerHeartbeat
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	last := time.Now()
	for step := 0; ; step++ {
		now := time.Now()
		s.step(ctx, now, now.Sub(last)-period, step)
		last = now
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.kick:
		}
	}
}

// step does everything that depends on time. late is the time that this process
// did not run; it does not count as silence of the others.
func (s *Service) step(ctx context.Context, now time.Time, late time.Duration, step int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, m := range s.members {
		if late >= s.opts.HeartbeatInterval {
			m.excuse(now, late)
		}
		if sameDomain := m.domain == s.self.Domain; m.sweep(now, s.opts.HeartbeatTimeout, sameDomain) && sameDomain {
			s.metrics.lost.Inc()
			s.log(m, "instance is silent")
		}
		if m.forgotten(now) {
			delete(s.members, address)
		}
	}
	s.updateReport()
	s.refresh()
	for _, m := range s.targets(now, step) {
		s.startCall(ctx, m, now)
	}
}

// startCall must be called with mu held.
func (s *Service) startCall(ctx context.Context, m *member, now time.Time) {
	m.calling, m.sent = true, now
	request, incarnation := s.message(m), m.id.Incarnation
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.opts.HeartbeatTimeout)
		defer cancel()
		var answer heartbeat
		err := s.caller.Call(callCtx, m.address, MethodHeartbeat, request, &answer)
		s.finishCall(m, incarnation, answer, err)
	})
}

func (s *Service) finishCall(m *member, incarnation string, answer heartbeat, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.calling = false
	if err != nil {
		m.failed = true
		s.metrics.heartbeats.WithLabelValues("failed").Inc()
		return
	}
	s.metrics.heartbeats.WithLabelValues("answered").Inc()
	switch {
	case answer.Status != nil:
		if answer.Status.Identity.Address != m.address {
			m.failed = true // another name of an instance that is known by its own address
		}
		s.receive(answer.Status.Identity, answer, true)
	case m.id.Incarnation == incarnation && incarnation != "":
		s.receive(m.id, answer, true)
	}
}

// handle answers a heartbeat of a peer.
func (s *Service) handle(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var hb heartbeat
	if err := peer.Unmarshal(body, &hb); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receive(from, hb, false)
	m := s.members[from.Address]
	if m == nil || m.id.Incarnation != from.Incarnation {
		m = &member{} // not recorded; it gets a full answer
	}
	return s.message(m), nil
}

// receive records a heartbeat of id. answered tells that it is the answer to a
// call of this instance, which shows that id was at its address just now. It
// must be called with mu held, which it releases while it calls OnReport.
func (s *Service) receive(id peer.Identity, hb heartbeat, answered bool) {
	if id.Incarnation == s.self.Incarnation {
		return
	}
	m := s.learn(id.Address, id.Domain)
	if m == nil || !m.adopt(id, answered) {
		return
	}
	if !m.live {
		s.log(m, "instance is live")
	}
	if m.take(hb, time.Now()) {
		s.refresh()
	}
	if hb.View != nil {
		s.learnView(id.Domain, *hb.View)
	}
	if m.status == 0 {
		return // the report has not arrived yet
	}
	report := m.report
	s.mu.Unlock()
	s.opts.OnReport(id, report)
	s.mu.Lock()
}

func (s *Service) learnView(domain string, v view) {
	for _, address := range v.Domain {
		s.learn(address, domain)
	}
	for other, addresses := range v.Contacts {
		for _, address := range addresses {
			s.learn(address, other)
		}
	}
}

// learn returns the member at address and adds it if there is room. It returns
// nil for this instance. It must be called with mu held.
func (s *Service) learn(address, domain string) *member {
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
	m.known = time.Now()
	return m
}

// message returns the heartbeat to m. It must be called with mu held.
func (s *Service) message(m *member) heartbeat {
	hb := heartbeat{StatusVersion: s.statusVersion, ViewVersion: s.viewVersion, KnowsStatus: m.status, KnowsView: m.view}
	if m.ackStatus != s.statusVersion {
		hb.Status = &status{Identity: s.self, Report: s.report}
	}
	if m.ackView != s.viewVersion {
		v := s.view
		hb.View = &v
	}
	return hb
}

// SetDraining tells the peers whether this instance is leaving.
func (s *Service) SetDraining(draining bool) {
	s.mu.Lock()
	s.draining = draining
	s.updateReport()
	s.refresh()
	s.mu.Unlock()
	s.TriggerHeartbeats()
}

// TriggerHeartbeats makes Run send a changed report soon, not only at the next step.
func (s *Service) TriggerHeartbeats() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// pollList learns the addresses of the platform's list.
func (s *Service) pollList(ctx context.Context) {
	for {
		s.readList(ctx)
		wait := s.opts.ListInterval
		if len(s.snap.Load().byIncarnation) == 1 {
			wait = min(wait, lonelyListPoll)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.spread(wait)):
		}
	}
}

// spread shortens d by up to a quarter, differently for each instance, so that
// instances that start together do not poll together.
func (s *Service) spread(d time.Duration) time.Duration {
	return d - time.Duration(firstVersion(s.self.Incarnation)%256)*d/1024
}

func (s *Service) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := s.opts.Lister.Instances(ctx, kvstore.EntryService)
	if err != nil {
		return // the next poll tries again; seeds and peers suffice meanwhile
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range list {
		if in.State == kvstore.Live {
			s.learn(in.Address, in.Domain)
		}
	}
}

// log reports a change of an instance of the own domain.
func (s *Service) log(m *member, text string) {
	if s.opts.Log != nil && m.domain == s.self.Domain {
		s.opts.Log.WithField("instance", m.id.Instance).WithField("address", m.address).Info(text)
	}
}
