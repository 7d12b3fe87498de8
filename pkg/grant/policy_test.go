package grant

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

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
			if got := (Policy{RecallKeep: tt.keep}).Recall(tt.view); got != tt.want {
				t.Errorf("returns %d tokens, want %d", got, tt.want)
			}
		})
	}
}
