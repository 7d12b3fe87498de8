package grant

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// TestMain fixes the seed of the random tests, so that runs are reproducible. The flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against a policy that hoards rights near exhaustion, requests rights too
// often, or returns rights that it will need again.
func TestPolicy(t *testing.T) {
	p := Default(2) // the standing share is an eighth of the unassigned and available tokens
	p.RecallHorizon = 5 * time.Second
	for _, tt := range []struct {
		desc                                      string
		view                                      View
		need, wantRequest, wantReturn, wantRecall ledger.Tokens
		wantRefill                                bool
	}{
		{"new budget", View{8000, 0, 0}, 100, 1000, 0, 0, false},
		{"need above the standing share", View{8000, 0, 0}, 3000, 3000, 0, 0, false},
		{"need above the unassigned tokens", View{500, 0, 0}, 800, 500, 0, 0, false},
		{"need covered by available tokens", View{0, 900, 0}, 800, 0, 788, 900, false},
		{"demand above the unassigned tokens", View{1000, 0, 10}, 100, 550, 0, 0, true},
		{"rights just below the refill threshold", View{100_000, 5000, 10}, 0, 8125, 0, 4950, true},
		{"demand covered", View{0, 6600, 10}, 0, 0, 0, 6550, false},
		{"idle rights", View{0, 8000, 0}, 0, 0, 7000, 8000, false},
		{"empty budget", View{0, 0, 10}, 100, 0, 0, 0, true},
		{"usable amount lowered below the charges", View{800, -50, 0}, 100, 100, 0, 0, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			if got := p.RequestAmount(tt.view, tt.need); got != tt.wantRequest {
				t.Errorf("request amount %d, want %d", got, tt.wantRequest)
			}
			if got := p.ReturnAmount(tt.view); got != tt.wantReturn {
				t.Errorf("return amount %d, want %d", got, tt.wantReturn)
			}
			if got := p.RecallAmount(tt.view); got != tt.wantRecall {
				t.Errorf("recall amount %d, want %d", got, tt.wantRecall)
			}
			if got := p.ShouldRefill(tt.view); got != tt.wantRefill {
				t.Errorf("should refill %v, want %v", got, tt.wantRefill)
			}
		})
	}
}

// Guards against requests for rights that do not exist, against refusals although the
// budget has tokens left, and against the return of rights that are in use.
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
		request := p.RequestAmount(v, need)
		if request < 0 || request > v.Unassigned {
			t.Fatalf("requests %d tokens, %d are unassigned", request, v.Unassigned)
		}
		held := max(v.Available, 0)
		if held+v.Unassigned >= need && held+request < need {
			t.Fatalf("requests %d tokens, holds %d, needs %d", request, held, need)
		}
		p.RecallHorizon = time.Duration(rapid.IntRange(0, 600).Draw(t, "keep")) * time.Second
		for name, returned := range map[string]ledger.Tokens{"return": p.ReturnAmount(v), "recall": p.RecallAmount(v)} {
			if returned < 0 || returned > held {
				t.Fatalf("%s of %d tokens, holds %d", name, returned, v.Available)
			}
		}
	})
}

// Guards against a rate that does not decay, which would keep rights for demand that
// has ended.
func TestRateDecays(t *testing.T) {
	var r Rate
	now := time.UnixMilli(0).UTC()
	r.Add(1200, now)
	initial := r.PerSecond(now)
	if rate := r.PerSecond(now.Add(rateHalfLife)); rate < initial*0.499 || rate > initial*0.501 {
		t.Errorf("rate %f after one half-life, %f before", rate, initial)
	}
	if rate := r.PerSecond(now); rate > initial {
		t.Errorf("rate grew to %f when the clock stepped back", rate)
	}
}

// Guards against a shard that keeps idle rights while another domain refuses requests,
// and against one that returns rights which it does not have.
func TestRecallAmount(t *testing.T) {
	tests := []struct {
		desc    string
		horizon time.Duration
		view    View
		want    ledger.Tokens
	}{
		{"idle", 5 * time.Second, View{Available: 100}, 100},
		{"keeps rights for its demand", 5 * time.Second, View{Available: 100, Rate: 8}, 60},
		{"needs all rights", 5 * time.Second, View{Available: 100, Rate: 50}, 0},
		{"horizon of zero", 0, View{Available: 100, Rate: 50}, 100},
		{"overdrawn", 0, View{Available: -10}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := (Policy{RecallHorizon: tt.horizon}).RecallAmount(tt.view); got != tt.want {
				t.Errorf("returns %d tokens, want %d", got, tt.want)
			}
		})
	}
}
