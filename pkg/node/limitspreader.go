package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/placement"
)

const (
	// limitsMethod tells an instance what others know of the limits of endpoints, and asks it
	// what it knows.
	limitsMethod peer.Method = "limits.exchange"
	// limitsInterval is the delay between rounds of a limitSpreader.
	limitsInterval = 500 * time.Millisecond
	// staleLimitAge is the time without an answer that confirms a limit after which an
	// instance asks one of the senders whether it still holds.
	staleLimitAge = 2 * time.Second
	// limitsCallTimeout bounds one call.
	limitsCallTimeout = 250 * time.Millisecond
	// maxLimitCalls bounds the calls at the same time.
	maxLimitCalls = 16
	// limitsDelay exceeds the age of a report when it arrives, so that a report of the end of
	// a limit is not taken for newer than the limit.
	limitsDelay = limitsCallTimeout
)

// limitReport is what an instance knows of the limit of one endpoint.
type limitReport struct {
	Endpoint string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	Started  int64  `cbor:"3,keyasint,omitempty"`
	// IsSet means that the endpoint takes PerSecond requests from all instances together;
	// otherwise the limit has ended.
	IsSet     bool    `cbor:"4,keyasint,omitempty"`
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
	// Age is the time since the endpoint said so.
	Age time.Duration `cbor:"6,keyasint"`
}

// limitsMessage is the message of limitsMethod and the reply to it. The reply holds what the
// callee knows of the same endpoints.
type limitsMessage struct {
	Reports []limitReport `cbor:"1,keyasint,omitempty"`
}

// limitSpreader tells the other instances which endpoints have named a limit or none any
// more. Most instances send no requests to a limited endpoint and would not learn of the end.
type limitSpreader struct {
	pool   *placement.Pool
	shares *limitShares
	peers  peer.Caller
	others func() []peer.Identity
	log    logrus.FieldLogger
}

// run makes rounds until ctx ends.
func (s *limitSpreader) run(ctx context.Context) {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.tellAll(ctx, s.pool.LimitNews(), now)
			s.confirm(ctx, now)
		}
	}
}

// tellAll tells all instances the limits that have changed.
func (s *limitSpreader) tellAll(ctx context.Context, news []placement.Limit, now time.Time) {
	if len(news) == 0 {
		return
	}
	for _, l := range news {
		s.log.WithFields(logrus.Fields{"endpoint": l.Endpoint.ID, "limited": l.IsSet, "per_second": l.PerSecond}).Info("limit of an endpoint changed")
	}
	s.exchange(ctx, s.others(), encodeLimits(news, now))
}

// confirm asks for each limit that no answer has confirmed lately one of the senders whether
// it still holds.
func (s *limitSpreader) confirm(ctx context.Context, now time.Time) {
	byAddress := map[string][]placement.Limit{}
	ids := map[string]peer.Identity{}
	for _, l := range s.pool.StaleLimits(staleLimitAge, now) {
		senders, _ := s.shares.senders(l.Endpoint, l.Allowance(), now)
		if len(senders) == 0 {
			continue
		}
		id := senders[rand.IntN(len(senders))]
		if id.Instance == s.shares.self.Instance {
			continue // the next round may choose another one
		}
		ids[id.Address] = id
		byAddress[id.Address] = append(byAddress[id.Address], l)
	}
	for address, stale := range byAddress {
		s.exchange(ctx, []peer.Identity{ids[address]}, encodeLimits(stale, now))
	}
}

// exchange sends a message to instances and adopts what they reply. An instance that does not
// answer learns the limits from its own requests, or asks later.
func (s *limitSpreader) exchange(ctx context.Context, instances []peer.Identity, message limitsMessage) {
	ctx, cancel := context.WithTimeout(ctx, 2*limitsCallTimeout)
	defer cancel()
	slots := make(chan struct{}, maxLimitCalls)
	var wg sync.WaitGroup
	for _, id := range instances {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, limitsCallTimeout)
			defer cancel()
			var reply limitsMessage
			if s.peers.Call(callCtx, id.Address, limitsMethod, message, &reply) == nil {
				s.adopt(reply, time.Now())
			}
		})
	}
	wg.Wait()
}

// registerPeer registers the handler of limitsMethod.
func (s *limitSpreader) registerPeer(reg peer.Registrar) {
	reg.Handle(limitsMethod, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var message limitsMessage
		if err := peer.Unmarshal(body, &message); err != nil {
			return nil, err
		}
		now := time.Now()
		s.adopt(message, now)
		var known []placement.Limit
		for _, r := range message.Reports {
			if l, ok := s.pool.KnownLimit(r.process()); ok {
				known = append(known, l)
			}
		}
		return encodeLimits(known, now), nil
	})
}

// adopt records what another instance reports.
func (s *limitSpreader) adopt(message limitsMessage, now time.Time) {
	for _, r := range message.Reports {
		at := now.Add(-max(0, r.Age))
		if !r.IsSet {
			at = at.Add(-limitsDelay)
		}
		s.pool.AdoptLimit(placement.Limit{Endpoint: r.process(), IsSet: r.IsSet, PerSecond: r.PerSecond, LearnedAt: at})
	}
}

// process returns the fields of the endpoint that identify its process.
func (r limitReport) process() catalog.Endpoint {
	return catalog.Endpoint{ID: r.Endpoint, Address: r.Address, Started: r.Started}
}

// encodeLimits returns the message for what this instance knows at time now.
func encodeLimits(limits []placement.Limit, now time.Time) limitsMessage {
	var message limitsMessage
	for _, l := range limits {
		message.Reports = append(message.Reports, limitReport{Endpoint: l.Endpoint.ID, Address: l.Endpoint.Address, Started: l.Endpoint.Started,
			IsSet: l.IsSet, PerSecond: l.PerSecond, Age: max(0, now.Sub(l.LearnedAt))})
	}
	return message
}
