package rights

import "time"

// lossWindow is the time over which the tokens that no running instance seems to hold are
// compared. It is longer than a store outage, during which consumption is not reported.
const lossWindow = 12 * time.Second

// losses estimates the tokens of one workspace that were lost with instances.
type losses struct{ samples []sample }

// add records at time now how many tokens no running instance seems to hold.
func (l *losses) add(unaccounted Tokens, now time.Time) {
	l.samples = append(l.samples, sample{now, unaccounted})
	for len(l.samples) > 2 && now.Sub(l.samples[1].at) >= lossWindow {
		l.samples = l.samples[1:]
	}
}

// tokens returns the estimate, the least of the window: lost tokens stay unaccounted for,
// others only until they are reported.
func (l *losses) tokens() Tokens {
	var least Tokens
	for i, s := range l.samples {
		if i == 0 || s.tokens < least {
			least = s.tokens
		}
	}
	return least
}

// unaccounted returns how many tokens of a workspace are granted, not reported as spent, and
// not held by the running instances if these hold as much as this one.
func unaccounted(granted, spent Tokens, h Holding, bufferHolders, instances int, holdsBuffer bool) Tokens {
	holders := instances
	if holdsBuffer {
		holders = max(1, bufferHolders)
	}
	held := h.Free.Times(int64(holders)).Plus(h.Reserved.Plus(h.Unreported).Times(int64(instances)))
	return granted.Excess(spent.Plus(held))
}
