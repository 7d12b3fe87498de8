package membudget_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/membudget"
)

// Guards against an owner that leaves others nothing, and against a budget that is exceeded.
func TestOwnersLeaveSomethingForOthers(t *testing.T) {
	b := membudget.New(6000)
	accounts := map[string]*membudget.Account{}
	take := func(owner string) (taken int) {
		for accounts[owner] = b.Open(owner); accounts[owner].Take(1); {
			taken++
		}
		return taken
	}
	if first, second, third := take("a"), take("b"), take("c"); first != 3000 || second != 1500 || third != 750 {
		t.Errorf("took %d, %d and %d of 6000", first, second, third)
	}
	accounts["a"].Close()
	accounts["a"].Close()
	if got := take("d"); got != 1875 || b.Used() != 1500+750+1875 {
		t.Errorf("took %d of the bytes that were given back, %d are used", got, b.Used())
	}
}

// Guards against bytes that are lost to the budget, or given back twice, as buffers grow.
func TestBuffersGiveBackWhatTheyTook(t *testing.T) {
	b := membudget.New(1 << 20)
	var users sync.WaitGroup
	for i := range 16 {
		users.Go(func() {
			for range 100 {
				account := b.Open(string(rune('a' + i%4)))
				buf, ok := make([]byte, 1, 512), true
				for limit := rand.IntN(1 << 18); ok; {
					buf, ok = account.Grow(buf, limit)
				}
				account.Free(buf)
			}
		})
	}
	users.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are used", b.Used())
	}
}
