package roster

import (
	"fmt"
	"io"
	"maps"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Guards against instances that choose different leaders from the same list, a
// failure domain without one, and more of them than needed.
func TestLeaders(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		domains []int // instances by failure domain
		least   int
		want    int
	}{
		{"small fleet", []int{3, 3, 1, 2}, 12, 9},
		{"large fleet", []int{20, 20, 20, 20}, 12, 12},
		{"uneven", []int{30, 1}, 4, 3},
		{"alone", []int{1}, 12, 1},
	} {
		var all []peer.Identity
		for d, n := range tc.domains {
			for i := range n {
				all = append(all, peer.Identity{Incarnation: fmt.Sprintf("i%d-%d", d, i), Domain: fmt.Sprint(d)})
			}
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		var first map[string]bool
		for i, self := range all {
			r := New(self, nil, log)
			for j, o := range all {
				if j != i {
					r.members = append(r.members, o)
				}
			}
			leaders, isSelf := r.Leaders(tc.least)
			if first == nil {
				first = leaders
			}
			if !maps.Equal(first, leaders) || isSelf != leaders[self.Incarnation] {
				t.Fatalf("%s: %s chooses %v, another one %v", tc.desc, self.Incarnation, leaders, first)
			}
		}
		if len(first) != tc.want {
			t.Errorf("%s: %d leaders", tc.desc, len(first))
		}
	}
}
