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

// blockedWriter is an output whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against a blocked output that also blocks the code that logs, against lines that
// are dropped without a trace, and against an unbounded queue.
func TestFullQueueDropsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out, prometheus.NewRegistry())
		const extra = 100
		line := []byte("line\n")
		for range maxQueuedLines + 1 + extra { // one line is held by the blocked output
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Fatalf("%d, %v", n, err)
			}
			synctest.Wait()
		}
		if got := testutil.ToFloat64(w.droppedTotal); got != extra {
			t.Errorf("%v lines counted as dropped", got)
		}
		close(out.release)
		w.Close()
		text := out.buf.String()
		if got := strings.Count(text, "line\n"); got != maxQueuedLines+1 {
			t.Errorf("%d lines written", got)
		}
		if !strings.Contains(text, `"msg":"log lines dropped","count":100`) {
			t.Error("the number of dropped lines was not logged")
		}
	})
}

// Guards against a queued line that changes when the logger reuses its buffer.
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
