package grant

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// TestMain fixes the seed of the random tests, so that each run gives the same
// verdict. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against a policy that hoards near exhaustion, asks too often, or gives
// back what it will need again.
func TestPolicy(t *testing.T) {
	p := Default(2) // the standing share is an eighth of what is free
	p.RecallHorizon = 5 * time.Second
	for _, tt := range []struct {
		desc                    string
		view                    View
		need, ask, give, recall ledger.Tokens
		refill                  bool
	}{
		{"new budget", View{8000, 0, 0}, 100, 1000, 0, 0, false},
		{"need above the standing share", View{8000, 0, 0}, 3000, 3000, 0, 0, false},
		{"need above the rest", View{500, 0, 0}, 800, 500, 0, 0, false},
		{"need is held already", View{0, 900, 0}, 800, 0, 788, 900, false},
		{"demand above the rest", View{1000, 0, 10}, 100, 550, 0, 0, true},
		{"demand just below the refill point", View{100_000, 5000, 10}, 0, 8125, 0, 4950, true},
		{"demand covered", View{0, 6600, 10}, 0, 0, 0, 6550, false},
		{"idle rights", View{0, 8000, 0}, 0, 0, 7000, 8000, false},
		{"empty budget", View{0, 0, 10}, 100, 0, 0, 0, true},
		{"usable amount lowered below the charges", View{800, -50, 0}, 100, 100, 0, 0, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			if got := p.RequestAmount(tt.view, tt.need); got != tt.ask {
				t.Errorf("ask %d, want %d", got, tt.ask)
			}
			if got := p.ReturnAmount(tt.view); got != tt.give {
				t.Errorf("return %d, want %d", got, tt.give)
			}
			if got := p.RecallAmount(tt.view); got != tt.recall {
				t.Errorf("recall %d, want %d", got, tt.recall)
			}
			if got := p.ShouldRefill(tt.view); got != tt.refill {
				t.Errorf("needs refill %v, want %v", got, tt.refill)
			}
		})
	}
}

// Guards against asking for rights that do not exist, against refusing although
// the budget has room, and against giving back rights that are in use.
func TestPolicyBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(0, int64(ledger.MaxTokens))
		p := Default(rapid.IntRange(0, 12).Draw(t, "domains"))
		p.StandingDivisor = rapid.IntRange(1, 8).Draw(t, "divisor")
		v := View{
			Unassigned: ledger.Tokens(amount.Draw(t, "unassigned")),
			Available:  ledger.Tokens(rapid.Int64Range(-1000, int64(ledger.MaxTokens)).Draw(t, "available")),
			Rate:       rapid.Float64Range(0, 1e9).Draw(t, "rate"),
		}
		need := ledger.Tokens(amount.Draw(t, "need"))
		ask := p.RequestAmount(v, need)
		if ask < 0 || ask > v.Unassigned {
			t.Fatalf("asks for %d of %d", ask, v.Unassigned)
		}
		held := max(v.Available, 0)
		if held+v.Unassigned >= need && held+ask < need {
			t.Fatalf("asks for %d, holds %d, needs %d", ask, held, need)
		}
		p.RecallHorizon = time.Duration(rapid.IntRange(0, 600).Draw(t, "keep")) * time.Second
		for name, give := range map[string]ledger.Tokens{"return": p.ReturnAmount(v), "recall": p.RecallAmount(v)} {
			if give < 0 || give > held {
				t.Fatalf("%s of %d, holds %d", name, give, v.Available)
			}
		}
	})
}

// Guards against a rate that does not fade, which would keep rights for a demand
// that has ended.
func TestRateDecays(t *testing.T) {
	var r Rate
	now := time.UnixMilli(0).UTC()
	r.Add(1200, now)
	first := r.PerSecond(now)
	if half := r.PerSecond(now.Add(rateHalfLife)); half < first*0.499 || half > first*0.501 {
		t.Errorf("rate %f after one half-life, %f before", half, first)
	}
	if back := r.PerSecond(now); back > first {
		t.Errorf("rate grew to %f when the clock stepped back", back)
	}
}

// Guards against an owner that keeps idle rights while another domain refuses
// requests, and against one that returns rights it does not have.
func TestRecall(t *testing.T) {
	tests := []struct {
		desc string
		keep time.Duration
		view View
		want ledger.Tokens
	}{
		{"idle", 5 * time.Second, View{Available: 100}, 100},
		{"keeps its demand", 5 * time.Second, View{Available: 100, Rate: 8}, 60},
		{"needs all", 5 * time.Second, View{Available: 100, Rate: 50}, 0},
		{"keeps nothing", 0, View{Available: 100, Rate: 50}, 100},
		{"overdrawn", 0, View{Available: -10}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := (Policy{RecallHorizon: tt.keep}).RecallAmount(tt.view); got != tt.want {
				t.Errorf("returns %d tokens, want %d", got, tt.want)
			}
		})
	}
}
