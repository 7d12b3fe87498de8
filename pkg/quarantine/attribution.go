package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Trait is a property that requests may have in common and that may crash the
// endpoints that run them, such as a shared part of their prompts.
type Trait uint64

// IdentifyingTrait returns a trait that only equal requests have. It tells a request that
// crashes endpoints by itself from others with the same parts.
func IdentifyingTrait(fp Fingerprint) Trait { return Trait(binary.BigEndian.Uint64(fp[:])) }

// Combination is a set of traits, in ascending order. A request matches it if it has
// all of them.
type Combination []Trait

// Matches reports whether a request with the given traits has all those of c.
func (c Combination) Matches(traits []Trait) bool {
	return len(c) > 0 && !slices.ContainsFunc(c, func(t Trait) bool { return !slices.Contains(traits, t) })
}

// Key returns a text that identifies the combination.
func (c Combination) Key() string {
	var b strings.Builder
	for i, t := range c {
		if i > 0 {
			b.WriteByte('-')
		}
		b.WriteString(strconv.FormatUint(uint64(t), 16))
	}
	return b.String()
}

// String describes the combination in messages.
func (c Combination) String() string { return "parts " + strings.ReplaceAll(c.Key(), "-", " with ") }

const (
	// minOccasions is the number of occasions on which endpoints died under a trait
	// before it is a culprit.
	minOccasions = 3
	// certainOccasions is the number from which a trait is a culprit even if another
	// one explains as many deaths.
	certainOccasions = 5
	// occasionGap separates occasions. Endpoints that die together have a common cause
	// other than a request, which runs on one endpoint at a time.
	occasionGap = 100 * time.Millisecond
	// deathReportWindow is the time within which reports of an endpoint are about the
	// same death. An endpoint needs seconds to start again.
	deathReportWindow = 2 * time.Second
	// survivalLookback is how long before a death a run that ended well still counts
	// against the guilt of its traits.
	survivalLookback = time.Second
	// deathTTL is how long a death is kept: longer than a quarantine, so that the next
	// death under the same trait starts another one at once.
	deathTTL          = 30 * time.Minute
	maxDeaths         = 256
	maxTraitsPerDeath = 1024
)

// Attribution finds the traits that crash endpoints. Each death of an endpoint comes
// with the traits of the requests that may have caused it; a trait whose requests end
// well is innocent of the deaths before. The culprit is the trait that explains the
// most deaths; those do not count against other traits. Traits that explain the same
// deaths cannot be told apart, and only requests with all of them are refused.
//
// It is not safe for concurrent use.
type Attribution struct {
	deaths []*attributedDeath // oldest first
}

// attributedDeath is a death of an endpoint with the traits that may have caused it.
type attributedDeath struct {
	endpoint string
	at       time.Time
	suspects map[Trait]bool
}

// Culprit is a combination of traits that crashes endpoints.
type Culprit struct {
	Traits Combination
	// Deaths is the number of endpoints that died under it, and LastDeath the time of
	// the latest of these deaths.
	Deaths    int
	LastDeath time.Time
}

// RecordDeath records that an endpoint died at a time while it ran requests with the given
// traits. Reports of several instances about one death are merged.
func (a *Attribution) RecordDeath(endpoint string, traits []Trait, at time.Time) {
	a.deaths = slices.DeleteFunc(a.deaths, func(d *attributedDeath) bool { return at.Sub(d.at) > deathTTL })
	i := slices.IndexFunc(a.deaths, func(d *attributedDeath) bool {
		return d.endpoint == endpoint && at.Sub(d.at).Abs() < deathReportWindow
	})
	if i < 0 {
		if len(a.deaths) == maxDeaths {
			a.deaths = slices.Delete(a.deaths, 0, 1)
		}
		i = len(a.deaths)
		for i > 0 && a.deaths[i-1].at.After(at) {
			i--
		}
		a.deaths = slices.Insert(a.deaths, i, &attributedDeath{endpoint: endpoint, at: at, suspects: map[Trait]bool{}})
	}
	for _, t := range traits {
		if len(a.deaths[i].suspects) < maxTraitsPerDeath {
			a.deaths[i].suspects[t] = true
		}
	}
}

// RecordSurvival records that an endpoint survived a request with the given trait.
func (a *Attribution) RecordSurvival(t Trait, at time.Time) {
	for _, d := range a.deaths {
		if d.at.Before(at.Add(survivalLookback)) {
			delete(d.suspects, t)
		}
	}
}

// Suspects returns the traits that would be culprits if they explained all of the
// deaths under them. The survivals of their requests decide about them.
func (a *Attribution) Suspects() []Trait {
	var suspects []Trait
	for t, deaths := range deathsByTrait(a.deaths) {
		if occasions(deaths) >= minOccasions {
			suspects = append(suspects, t)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// Culprits returns the combinations that crash endpoints, those with the most deaths
// first.
func (a *Attribution) Culprits() []Culprit { return a.culpritsFrom(minOccasions) }

// CulpritsHeard is like Culprits if some of the listed instances have told their survivals.
// Without half of them, which may be lost or behind a partition, a trait could have survived
// unnoticed, and it takes certainOccasions to make it a culprit.
func (a *Attribution) CulpritsHeard(answered, listed int) []Culprit {
	if 2*answered < listed {
		return a.culpritsFrom(certainOccasions)
	}
	return a.Culprits()
}

// culpritsFrom returns the culprits with at least the given number of occasions.
func (a *Attribution) culpritsFrom(least int) []Culprit {
	var culprits []Culprit
	for unexplained := a.deaths; ; {
		byTrait := deathsByTrait(unexplained)
		best := bestTrait(byTrait)
		explained := byTrait[best]
		if occasions(explained) < least {
			return culprits
		}
		if occasions(explained) >= certainOccasions || !hasRival(byTrait, explained) {
			culprits = append(culprits, newCulprit(byTrait, explained))
		}
		unexplained = slices.DeleteFunc(slices.Clone(unexplained), func(d *attributedDeath) bool { return slices.Contains(explained, d) })
	}
}

// deathsByTrait returns the deaths under each trait, oldest first.
func deathsByTrait(deaths []*attributedDeath) map[Trait][]*attributedDeath {
	byTrait := map[Trait][]*attributedDeath{}
	for _, d := range deaths {
		for t := range d.suspects {
			byTrait[t] = append(byTrait[t], d)
		}
	}
	return byTrait
}

// bestTrait returns the trait with the most occasions, among equals that with the most
// deaths and then the lowest one.
func bestTrait(byTrait map[Trait][]*attributedDeath) Trait {
	var best Trait
	for _, t := range slices.Sorted(maps.Keys(byTrait)) {
		n, most := occasions(byTrait[t]), occasions(byTrait[best])
		if n > most || n == most && len(byTrait[t]) > len(byTrait[best]) {
			best = t
		}
	}
	return best
}

// hasRival reports whether another trait explains as many occasions by deaths that are
// partly others.
func hasRival(byTrait map[Trait][]*attributedDeath, explained []*attributedDeath) bool {
	for _, deaths := range byTrait {
		if occasions(deaths) < occasions(explained) || slices.Equal(deaths, explained) {
			continue
		}
		if slices.ContainsFunc(deaths, func(d *attributedDeath) bool { return slices.Contains(explained, d) }) {
			return true
		}
	}
	return false
}

func newCulprit(byTrait map[Trait][]*attributedDeath, explained []*attributedDeath) Culprit {
	c := Culprit{Deaths: len(explained), LastDeath: explained[len(explained)-1].at}
	for t, deaths := range byTrait {
		if slices.Equal(deaths, explained) {
			c.Traits = append(c.Traits, t)
		}
	}
	slices.Sort(c.Traits)
	return c
}

// occasions returns the number of deaths without those that follow another one within
// occasionGap.
func occasions(deaths []*attributedDeath) int {
	n := 0
	var last time.Time
	for _, d := range deaths {
		if n == 0 || d.at.Sub(last) >= occasionGap {
			n++
			last = d.at
		}
	}
	return n
}
