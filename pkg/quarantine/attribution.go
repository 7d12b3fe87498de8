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
	// occasionGap separates occasions. Endpoints that die together may have a common cause
	// other than their requests.
	occasionGap = 100 * time.Millisecond
	// jointLookback is how long before endpoints die together a run that ended well shows that
	// their common trait is not the cause.
	jointLookback = 10 * time.Second
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
// Deaths are counted by occasions. Only if all endpoints that died together ran requests with a
// trait that has not survived for a while, each of these deaths counts, from certainOccasions
// of them on: several requests with a part that crashes endpoints may come at the same time.
//
// It is not safe for concurrent use.
type Attribution struct {
	deaths   []*attributedDeath  // oldest first
	survived map[Trait]time.Time // latest survivals of suspects
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
	a.rememberSurvival(t, at)
	for _, d := range a.deaths {
		if d.at.Before(at.Add(survivalLookback)) {
			delete(d.suspects, t)
		}
	}
}

// rememberSurvival records the latest survival of a trait for later deaths.
func (a *Attribution) rememberSurvival(t Trait, at time.Time) {
	if a.survived == nil {
		a.survived = map[Trait]time.Time{}
	}
	if len(a.survived) >= maxSurvivals {
		maps.DeleteFunc(a.survived, func(_ Trait, other time.Time) bool { return at.Sub(other) >= jointLookback })
	}
	if at.After(a.survived[t]) && len(a.survived) < maxSurvivals {
		a.survived[t] = at
	}
}

// Suspects returns the traits that would be culprits if they explained all of the
// deaths under them. The survivals of their requests decide about them.
func (a *Attribution) Suspects() []Trait {
	var suspects []Trait
	for t, deaths := range deathsByTrait(a.deaths) {
		if a.evidence(t, deaths) >= minOccasions {
			suspects = append(suspects, t)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// Culprits returns the combinations that crash endpoints, those with the most deaths
// first.
func (a *Attribution) Culprits() []Culprit { return a.culpritsFrom(minOccasions, a.evidence) }

// CulpritsHeard is like Culprits if some of the listed instances have told their survivals.
// Without half of them, which may be lost or behind a partition, a trait could have survived
// unnoticed, and it takes certainOccasions to make it a culprit.
func (a *Attribution) CulpritsHeard(answered, listed int) []Culprit {
	if 2*answered < listed {
		return a.culpritsFrom(certainOccasions, func(_ Trait, deaths []*attributedDeath) int { return occasions(deaths) })
	}
	return a.Culprits()
}

// weighing returns how much the deaths under a trait speak against it.
type weighing func(t Trait, deaths []*attributedDeath) int

// evidence is the number of occasions or, if that is more, of deaths that count one by one.
func (a *Attribution) evidence(t Trait, deaths []*attributedDeath) int {
	if joint := a.jointDeaths(t, deaths); joint >= certainOccasions {
		return joint
	}
	return occasions(deaths)
}

// jointDeaths returns how many of the deaths under a trait were on occasions on which no
// endpoint died without it, and which it had not survived for jointLookback.
func (a *Attribution) jointDeaths(t Trait, deaths []*attributedDeath) int {
	n := 0
	for _, d := range deaths {
		survivedAt, hasSurvived := a.survived[t]
		isExplained := !slices.ContainsFunc(a.deaths, func(other *attributedDeath) bool {
			return other.at.Sub(d.at).Abs() < occasionGap && !other.suspects[t]
		})
		if isExplained && !(hasSurvived && d.at.Sub(survivedAt) < jointLookback) {
			n++
		}
	}
	return n
}

// culpritsFrom returns the culprits with at least the given evidence.
func (a *Attribution) culpritsFrom(least int, weigh weighing) []Culprit {
	var culprits []Culprit
	for unexplained := a.deaths; ; {
		byTrait := deathsByTrait(unexplained)
		best := bestTrait(byTrait, weigh)
		explained := byTrait[best]
		weight := weigh(best, explained)
		if weight < least {
			return culprits
		}
		if weight >= certainOccasions || !hasRival(byTrait, explained, weight, weigh) {
			culprits = append(culprits, newCulprit(byTrait, explained, weight, weigh))
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

// bestTrait returns the trait with the most evidence, among equals that with the most deaths
// and then the lowest one.
func bestTrait(byTrait map[Trait][]*attributedDeath, weigh weighing) Trait {
	var best Trait
	most := 0
	for _, t := range slices.Sorted(maps.Keys(byTrait)) {
		n := weigh(t, byTrait[t])
		if n > most || n == most && len(byTrait[t]) > len(byTrait[best]) {
			best, most = t, n
		}
	}
	return best
}

// hasRival reports whether as much evidence speaks against another trait by deaths that are
// partly others.
func hasRival(byTrait map[Trait][]*attributedDeath, explained []*attributedDeath, weight int, weigh weighing) bool {
	for t, deaths := range byTrait {
		if weigh(t, deaths) < weight || slices.Equal(deaths, explained) {
			continue
		}
		if slices.ContainsFunc(deaths, func(d *attributedDeath) bool { return slices.Contains(explained, d) }) {
			return true
		}
	}
	return false
}

// newCulprit returns the combination of the traits that explain the same deaths and against
// which as much evidence speaks.
func newCulprit(byTrait map[Trait][]*attributedDeath, explained []*attributedDeath, weight int, weigh weighing) Culprit {
	c := Culprit{Deaths: len(explained), LastDeath: explained[len(explained)-1].at}
	for t, deaths := range byTrait {
		if slices.Equal(deaths, explained) && weigh(t, deaths) >= weight {
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
