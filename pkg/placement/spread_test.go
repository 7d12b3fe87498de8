package placement

import (
	"testing"
	"time"
)

// spreadOf plays a prefix at one of several instances, with perSecond prompts of 3,000 tokens, and returns the endpoints used in the second half of 8 s.
func spreadOf(t *testing.T, instances int, perSecond float64, isOn bool) int {
	p, _ := newPool("z", "z", "z", "z", "z", "z", "z", "z", "z", "z", "z", "z")
	if isOn {
		p.SetSpread(map[string]bool{"s": true}, func() int { return instances })
	}
	used := map[string]bool{}
	for at := time.Duration(0); at < 8*time.Second; at += time.Duration(float64(time.Second) / perSecond) {
		now := start.Add(at)
		c := choose(t, p, Request{Service: "s", Parts: []Part{{ID: 1, Tokens: 13_000}, {ID: 2, Tokens: 3000}}}, now)
		c.RecordFirstByte(now.Add(100 * time.Millisecond))
		c.Done(Served, now.Add(100*time.Millisecond))
		if at >= 4*time.Second {
			used[c.ID] = true
		}
	}
	return len(used)
}

// Guards against a hot prefix that stays at one endpoint, and against a usual one that is read at several.
func TestPrefixSpreadsWithItsRate(t *testing.T) {
	for _, c := range []struct {
		instances   int
		perSecond   float64
		isOn        bool
		least, most int
	}{{1, 50, false, 1, 1}, {1, 1, true, 1, 1}, {1, 50, true, 8, 12}, {58, 0.25, true, 1, 1}, {58, 20, true, 8, 12}} {
		if n := spreadOf(t, c.instances, c.perSecond, c.isOn); n < c.least || n > c.most {
			t.Errorf("%+v: %d endpoints", c, n)
		}
	}
}

// Guards against counts of prefixes that grow without bound.
func TestTrackedPrefixesAreBounded(t *testing.T) {
	l := prefixLoads{}
	for i := range uint64(3 * maxTrackedPrefixes) {
		l.observe(i, 1000, 10, start)
	}
	if len(l) > maxTrackedPrefixes {
		t.Errorf("%d prefixes", len(l))
	}
}
