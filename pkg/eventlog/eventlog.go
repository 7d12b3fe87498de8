// Package eventlog writes log lines without blocking the code that logs them, and
// logs the availability of dependencies.
//
// Lines are queued for a single writing goroutine. When the queue is full, lines are
// dropped and counted; the count is logged after the next line that is written.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines is the capacity of the queue, about what a busy instance logs in one
// second.
const maxQueuedLines = 2048

// Writer is an io.Writer whose Write never blocks. It is safe for concurrent use.
type Writer struct {
	out          io.Writer
	lines        chan []byte
	dropped      atomic.Uint64
	droppedTotal prometheus.Counter
	done         chan struct{}
	closeOnce    sync.Once
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer to out and registers its metric with reg, unless reg is nil. It
// starts a goroutine that runs until Close.
func New(out io.Writer, reg prometheus.Registerer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		droppedTotal: prometheus.NewCounter(prometheus.CounterOpts{Name: "clementinerack_log_lines_dropped_total",
			Help: "Log lines that were dropped because the queue was full."})}
	if reg != nil {
		reg.MustRegister(w.droppedTotal)
	}
	go w.run()
	return w
}

// Write queues a copy of line, or drops it if the queue is full. It never returns an
// error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.droppedTotal.Inc()
	}
	return len(line), nil
}

// run writes queued lines until the queue is closed.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line) // a failed write of the log cannot be reported elsewhere
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"level":"warning","msg":"log lines dropped","count":%d}`+"\n", n)
		}
	}
}

// Close writes the queued lines and stops the goroutine. Write must not be called
// afterwards.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}
