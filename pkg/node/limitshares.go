package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

// establishedTTL is how long the list of established instances is used before it is read again.
const establishedTTL = 500 * time.Millisecond

// limitShares divides what an endpoint takes among the instances without asking them: all
// instances that know the same others choose the same senders, which share it evenly.
type limitShares struct {
	self        peer.Identity
	established func(now time.Time) (others []peer.Identity, self bool)

	mu            sync.Mutex
	instances     []hashedInstance // established, this one included if it is
	isEstablished bool
	readAt        time.Time
}

// hashedInstance is an instance with the hash of its name.
type hashedInstance struct {
	peer.Identity
	hash uint64
}

// of implements placement.Share.
func (s *limitShares) of(endpoint catalog.Endpoint, a placement.Allowance, now time.Time) float64 {
	senders, isEstablished := s.senders(endpoint, a, now)
	if !isEstablished || !slices.ContainsFunc(senders, func(id peer.Identity) bool { return id.Instance == s.self.Instance }) {
		return 0
	}
	return a.PerSecond / float64(len(senders))
}

// senders returns the instances that send requests to an endpoint with an allowance for all
// together, and whether this instance is established. One half is chosen from the failure
// domain of the endpoint, which may be cut off from the others.
func (s *limitShares) senders(endpoint catalog.Endpoint, a placement.Allowance, now time.Time) ([]peer.Identity, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readEstablished(now)
	var senders []peer.Identity
	n := a.Senders
	if n >= len(s.instances) {
		for _, id := range s.instances {
			senders = append(senders, id.Identity)
		}
		return senders, s.isEstablished
	}
	hash := rendezvous.Hash(endpoint.ID)
	ranked := slices.SortedFunc(slices.Values(s.instances), func(a, b hashedInstance) int {
		return cmp.Or(cmp.Compare(rendezvous.Mix(b.hash^hash), rendezvous.Mix(a.hash^hash)), cmp.Compare(a.Instance, b.Instance))
	})
	for _, id := range ranked {
		if id.Domain == endpoint.Domain && len(senders) < (n+1)/2 {
			senders = append(senders, id.Identity)
		}
	}
	for _, id := range ranked {
		if len(senders) < n && !slices.Contains(senders, id.Identity) {
			senders = append(senders, id.Identity)
		}
	}
	return senders, s.isEstablished
}

// readEstablished reads the list of established instances if establishedTTL has passed. s.mu
// must be held.
func (s *limitShares) readEstablished(now time.Time) {
	if now.Sub(s.readAt) < establishedTTL {
		return
	}
	var known []peer.Identity
	known, s.isEstablished = s.established(now)
	if s.isEstablished {
		known = append(known, s.self)
	}
	s.instances, s.readAt = s.instances[:0], now
	for _, id := range known {
		s.instances = append(s.instances, hashedInstance{id, rendezvous.Hash(id.Instance)})
	}
}
