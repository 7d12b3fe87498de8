package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against an output that does not take lines and blocks those who log,
// against lost lines that nobody learns of, and against a queue without bound.
func TestFullQueueDropsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		w := New(out, prometheus.NewRegistry())
		const extra = 100
		line := []byte("line\n")
		for range queueLines + 1 + extra { // one is with the output
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Fatalf("%d, %v", n, err)
			}
			synctest.Wait()
		}
		if got := testutil.ToFloat64(w.total); got != extra {
			t.Errorf("%v lines were counted as dropped", got)
		}
		close(out.release)
		w.Close()
		text := out.buf.String()
		if got := strings.Count(text, "line\n"); got != queueLines+1 {
			t.Errorf("%d lines were written", got)
		}
		if !strings.Contains(text, `"msg":"log lines dropped","count":100`) {
			t.Error("the drop was not logged")
		}
	})
}

// Guards against a line that changes after it was logged, because loggers reuse
// their buffers.
func TestLinesAreCopied(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, nil)
	line := []byte("first\n")
	_, _ = w.Write(line)
	copy(line, "wrong\n")
	w.Close()
	if out.String() != "first\n" {
		t.Errorf("%q", out.String())
	}
}
