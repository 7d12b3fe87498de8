// Package eventlog writes log lines without ever blocking those who log.
//
// Lines wait in a bounded queue for one writer. When the queue is full, lines
// are dropped and counted; the count is logged once there is room again.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// queueLines bounds the lines that wait: a second of a busy instance.
const queueLines = 2048

// Writer is an io.Writer that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   prometheus.Counter
	done    chan struct{}
	once    sync.Once
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer to out. Close writes what waits.
func New(out io.Writer, reg prometheus.Registerer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		total: prometheus.NewCounter(prometheus.CounterOpts{Name: "clementinerack_log_lines_dropped_total",
			Help: "Log lines that were dropped because the queue was full."})}
	if reg != nil {
		reg.MustRegister(w.total)
	}
	go w.run()
	return w
}

// Write queues a copy of line, or drops it when the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.total.Inc()
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line) // there is no other place to report a failed log
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"level":"warning","msg":"log lines dropped","count":%d}`+"\n", n)
		}
	}
}

// Close writes the queued lines. Nothing may be written afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}
