package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var (
	first    = flag.Uint64("first", 1, "first seed")
	seeds    = flag.Uint64("seeds", 1, "number of seeds")
	duration = flag.Duration("duration", 5*time.Second, "time with faults for each seed")
)

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{}

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// run builds the program and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "clementinerack-entry")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/clementinerack-entry").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Guards against a budget that is exceeded, a request that runs twice or runs after it
// was refused, a wrong or incomplete answer that looks whole, and processes that end by
// themselves, while faults of all kinds overlap.
func TestSoak(t *testing.T) {
	all := append([]uint64(nil), regressions...)
	for i := range *seeds {
		all = append(all, *first+i)
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, binary, seed)
	s := &seen{delivered: map[string]int64{}, refused: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	calling, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() { w.call(calling, c, s) })
	}
	w.disturb(ctx)
	before := s.count()
	w.heal()
	w.checkBudget(s)
	w.pay(400_000) // callers are served again, whatever was left
	for deadline := time.Now().Add(startWait); s.count() == before && time.Now().Before(deadline); {
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	wg.Wait()
	w.check(s, before)
}

func (s *seen) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// heal ends all faults and waits until all instances take requests.
func (w *world) heal() {
	time.Sleep(100 * time.Millisecond) // the ends of faults that the context has cut short
	for _, n := range w.nodes {
		n.awaitReady()
	}
}

// checkBudget compares what was consumed so far with what was paid, and returns both.
func (w *world) checkBudget(s *seen) (spent, paid int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, prompt := range w.inputs {
		spent += prompt + s.delivered[id]
	}
	if spent > w.prepaid {
		w.t.Errorf("%d tokens were consumed, %d paid", spent, w.prepaid)
	}
	return spent, w.prepaid
}

// check compares what callers and runners saw with the promises.
func (w *world) check(s *seen, before int) {
	spent, paid := w.checkBudget(s)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range s.refused {
		if w.runs[id] > 0 {
			w.t.Errorf("%s ran %d times and was refused", id, w.runs[id])
		}
	}
	for id, n := range w.runs {
		if n > 1 && w.once[id] {
			w.t.Errorf("%s ran %d times", id, n)
		}
	}
	for _, text := range s.wrong {
		w.t.Error(text)
	}
	if s.served == before {
		w.t.Error("nothing was served after the faults")
	}
	w.t.Logf("%d served, %d runs, %d of %d tokens, %d refused that may run once", s.served, len(w.runs), spent, paid, len(s.refused))
}
