package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Traits of the tests. The lowest digit tells parts of one kind apart.
const (
	bad, bad2   = Trait(0xbad0), Trait(0xbad1)
	first       = Trait(0xa0) // a part that all requests of a caller share
	other1      = Trait(0xb1)
	other2      = Trait(0xb2)
	fingerprint = Trait(0xf0)
)

// Guards against a crashing part that is not found, and against sound parts that are blamed.
func TestAttribution(t *testing.T) {
	at := func(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	type death struct {
		ms     int
		traits []Trait
	}
	together := func(ms, count int, traits ...Trait) (deaths []death) {
		for i := range count {
			deaths = append(deaths, death{ms + i, append([]Trait{Trait(1000 + ms + i)}, traits...)})
		}
		return deaths
	}
	survived := func(ms int, traits ...Trait) func(*Attribution) {
		return func(a *Attribution) {
			for _, trait := range traits {
				a.RecordSurvival(trait, at(ms))
			}
		}
	}
	for _, tc := range []struct {
		desc   string
		deaths []death
		then   func(*Attribution)
		want   []Combination
	}{
		{desc: "two deaths", deaths: []death{{0, []Trait{bad}}, {500, []Trait{bad}}}},
		{desc: "three deaths", deaths: []death{{0, []Trait{bad, other1}}, {500, []Trait{bad}}, {900, []Trait{bad, other2}}}, want: []Combination{{bad}}},
		{desc: "three deaths at once have a common cause", deaths: []death{{0, []Trait{bad}}, {10, []Trait{bad}}, {20, []Trait{bad}}, {30, []Trait{bad}}}},
		{desc: "five deaths at once, all under the part", deaths: together(0, 5, bad), want: []Combination{{bad}}},
		{desc: "three deaths at once, twice", deaths: append(together(0, 3, bad), together(4000, 3, bad)...), want: []Combination{{bad}}},
		{desc: "deaths at once beside sound parts", deaths: append(together(0, 3, bad, other1), together(4, 3, bad, other2)...), want: []Combination{{bad}}},
		{desc: "many deaths at once, some without the part", deaths: append(together(0, 9, bad), together(20, 1, other1)...)},
		{desc: "many deaths at once under a part that survived before", deaths: together(9000, 9, bad), then: survived(0, bad)},
		{desc: "many deaths at once under a part that survived long before", deaths: together(11000, 9, bad), then: survived(0, bad), want: []Combination{{bad}}},
		{desc: "many deaths at once under a part that survives later", deaths: together(0, 9, bad), then: survived(3000, bad)},
		{desc: "many deaths at once and a survival of the shared part", deaths: together(5000, 9, bad, first), then: survived(0, first), want: []Combination{{bad}}},
		{desc: "reported out of order", deaths: []death{{900, []Trait{bad}}, {0, []Trait{bad}}, {500, []Trait{bad}}}, want: []Combination{{bad}}},
		{desc: "always beside a shared part", deaths: []death{{0, []Trait{bad, first}}, {500, []Trait{bad, first}}, {900, []Trait{bad, first}}}, want: []Combination{{first, bad}}},
		{desc: "the shared part survives elsewhere", deaths: []death{{0, []Trait{bad, first}}, {500, []Trait{bad, first}}, {900, []Trait{bad, first}}},
			then: survived(1000, first), want: []Combination{{bad}}},
		{desc: "the shared part survived just before", deaths: []death{{0, []Trait{bad, first}}, {500, []Trait{bad, first}}, {900, []Trait{bad, first}}},
			then: survived(200, first), want: []Combination{{bad}}},
		{desc: "survived long before", deaths: []death{{5000, []Trait{bad}}, {5500, []Trait{bad}}, {5900, []Trait{bad}}}, then: survived(0, bad), want: []Combination{{bad}}},
		{desc: "survived", deaths: []death{{0, []Trait{bad}}, {500, []Trait{bad}}, {900, []Trait{bad}}}, then: survived(2000, bad)},
		{desc: "an identical request", deaths: []death{{0, []Trait{bad, fingerprint}}, {500, []Trait{bad, fingerprint}}, {900, []Trait{bad, fingerprint}}}, want: []Combination{{fingerprint, bad}}},
		{desc: "several requests, each repeated", deaths: []death{{0, []Trait{bad, 1}}, {500, []Trait{bad, 1}}, {900, []Trait{bad, 2}}, {1300, []Trait{bad, 2}}}, want: []Combination{{bad}}},
		{desc: "sound part on some of the endpoints", want: []Combination{{bad}},
			deaths: []death{{0, []Trait{bad, other1}}, {500, []Trait{bad, other1}}, {900, []Trait{bad, other1}}, {1300, []Trait{bad}}, {1700, []Trait{bad}}}},
		{desc: "two crashing parts", want: []Combination{{bad}, {bad2}},
			deaths: []death{{0, []Trait{bad}}, {500, []Trait{bad2}}, {900, []Trait{bad}}, {1300, []Trait{bad2}}, {1700, []Trait{bad}}, {2100, []Trait{bad}}, {2500, []Trait{bad2}}}},
		{desc: "as many deaths under another part", deaths: []death{{0, []Trait{bad, other1}}, {500, []Trait{bad, other1}}, {900, []Trait{bad}}, {1300, []Trait{other1}}}},
		{desc: "one death more decides", want: []Combination{{bad}},
			deaths: []death{{0, []Trait{bad, other1}}, {500, []Trait{bad, other1}}, {900, []Trait{bad}}, {1300, []Trait{other1}}, {1700, []Trait{bad}}}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var a Attribution
			for i, d := range tc.deaths {
				a.RecordDeath(fmt.Sprint("e", i), d.traits, at(d.ms))
			}
			if tc.then != nil {
				tc.then(&a)
			}
			var got []Combination
			for _, c := range a.Culprits() {
				got = append(got, c.Traits)
			}
			if !slices.EqualFunc(got, tc.want, slices.Equal) {
				t.Errorf("culprits %v, want %v", got, tc.want)
			}
			for _, c := range tc.want {
				for _, trait := range c {
					if !slices.Contains(a.Suspects(), trait) {
						t.Errorf("%x is not among the suspects", trait)
					}
				}
			}
		})
	}
}

// Guards against reports of one death by several instances that count as several deaths.
func TestReportsOfOneDeathAreMerged(t *testing.T) {
	var a Attribution
	for i := range 5 {
		a.RecordDeath("e", []Trait{bad, Trait(i)}, testStart.Add(time.Duration(i)*200*time.Millisecond))
	}
	if got := a.Culprits(); len(got) > 0 {
		t.Errorf("culprits %v after one death", got)
	}
}

// Guards against a refusal that does not end, or that starts again without a new death.
func TestRefusals(t *testing.T) {
	r := NewRefusals(nil)
	c := Combination{first, bad}
	if !r.Add(c, atSecond(0), atSecond(60)) || r.Add(c, atSecond(1), atSecond(61)) {
		t.Error("a combination was not added once")
	}
	for _, tc := range []struct {
		second  int
		traits  []Trait
		refused bool
	}{{1, []Trait{first, bad, other1}, true}, {1, []Trait{bad}, false}, {1, []Trait{first}, false}, {1, nil, false}, {60, []Trait{first, bad}, false}} {
		if err := r.Check(tc.traits, atSecond(tc.second)); (err != nil) != tc.refused {
			t.Errorf("second %d, %v: %v", tc.second, tc.traits, err)
		}
	}
	if r.Add(c, atSecond(59), atSecond(120)) || !r.Add(c, atSecond(61), atSecond(120)) {
		t.Error("a refusal starts again only after a later death")
	}
	if got := r.Active(atSecond(100)); len(got) != 1 {
		t.Errorf("%d are active", len(got))
	}
	if got := r.Matching([]Trait{first, bad, other1}, atSecond(100)); len(got) != 1 || !slices.Equal(got[0], c) {
		t.Errorf("matching %v", got)
	}
	r.Lift(c, atSecond(100))
	if err := r.Check(c, atSecond(101)); err != nil || r.Add(c, atSecond(99), atSecond(200)) {
		t.Errorf("a lifted refusal goes on: %v", err)
	}
}

// Guards against memory that grows with the number of parts.
func TestSurvivalsAreBounded(t *testing.T) {
	s := NewSurvivals()
	for i := range 2 * maxSurvivals {
		s.Record([]Trait{Trait(i)}, atSecond(i))
	}
	if _, ok := s.Latest(0); ok || len(s.latest) != maxSurvivals || len(s.order) != maxSurvivals {
		t.Errorf("%d traits are kept", len(s.latest))
	}
	if at, ok := s.Latest(2*maxSurvivals - 1); !ok || !at.Equal(atSecond(2*maxSurvivals-1)) {
		t.Errorf("latest survival %v, %v", at, ok)
	}
}

// Guards against a review that each further death postpones.
func TestTraitsAreReviewedWhileDeathsGoOn(t *testing.T) {
	tr := New(Options{}, nil)
	for i := range 10 {
		now := testStart.Add(time.Duration(i) * traitReviewDelay * 3 / 4)
		fp := Fingerprint{byte(i + 1)}
		tr.RecordStart(fp, fmt.Sprint("e", i), now)
		tr.RecordTraits(fp, fmt.Sprint("e", i), []Trait{bad})
		tr.RecordEndpointDeath(fmt.Sprint("e", i), "1", now)
		if err := tr.CheckTraits([]Trait{bad}, now); err != nil {
			return
		}
	}
	t.Error("the trait is not refused after 10 deaths")
}
