package catalog

import (
	"context"
	"io"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// agedRelay answers each pull with content of an age in milliseconds.
type agedRelay int64

func (a agedRelay) Call(_ context.Context, _ string, _ peer.Method, _, resp any) error {
	*resp.(*PullReply) = PullReply{AgeMillis: int64(a), PassesVersions: true, PassesSoftwareVersions: true, PassesRegions: true}
	return nil
}

// Guards against an age that wraps around, so that old content counts as current.
func TestLargestAgeIsNotCurrent(t *testing.T) {
	for age, want := range map[int64]relayState{0: relayCurrent, math.MinInt64: relayCurrent, 1 << 50: relayUnavailable, 1e12: relayUnavailable, 1e13: relayUnavailable, math.MaxInt64: relayUnavailable} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := NewReplica(ReplicaOptions{Source: &fakeSource{doc: &Document{Version: 5}}, Peers: agedRelay(age), Members: func() []string { return nil }, Log: log})
		if state, err := r.pollRelay(t.Context(), "relay", time.Second); err != nil || state != want {
			t.Errorf("age of %d ms: state %d, %v", age, state, err)
		}
	}
}
