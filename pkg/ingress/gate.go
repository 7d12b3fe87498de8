package ingress

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/abort"
)

const (
	// connectionBytes is the memory that an idle connection takes, with its goroutine and buffers.
	connectionBytes = 24 << 10
	// bytesShare and connectionsShare are the parts of the memory limit of the Go runtime, as
	// divisors, that heads and bodies and that connections take. The rest is for answers and
	// for garbage.
	bytesShare, connectionsShare = 4, 3
	// defaultBytes is Limits.Bytes of a process without a memory limit.
	defaultBytes = 64 << 20
	// callerShare is the part of the descriptors for sockets, as a divisor, that callers have.
	// As many are left for the endpoints to which their requests go.
	callerShare = 2
	// sweepInterval is short compared with the fifth of a limit by which callers stay below it.
	sweepInterval = 500 * time.Millisecond
	// receiveBufferBytes is the receive buffer of a connection, which holds what a caller sends
	// and nobody reads.
	receiveBufferBytes = 32 << 10
)

// ForProcess returns the limits for the memory limit of the Go runtime and a number of
// descriptors for sockets. If descriptors is 0, it is the limit of the process.
func ForProcess(descriptors int) Limits {
	if descriptors <= 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			descriptors = int(min(limit.Cur, math.MaxInt32))
		}
	}
	limits := Limits{Connections: descriptors / callerShare, Bytes: defaultBytes}
	if memory := debug.SetMemoryLimit(-1); memory != math.MaxInt64 { // only reads it
		limits.Bytes = memory / bytesShare
		limits.Connections = min(limits.Connections, int(memory/connectionsShare/connectionBytes))
	}
	return limits
}

// Gate applies a Guard to the connections of a server.
type Gate struct {
	guard *Guard
	rules func() Rules
	log   logrus.FieldLogger
	ends  *prometheus.CounterVec

	mu       sync.Mutex
	unlogged logrus.Fields // numbers of ends by cause since the latest line of the log, nil if none
}

// NewGate returns a gate. rules returns the current rules.
func NewGate(limits Limits, rules func() Rules, log logrus.FieldLogger, reg prometheus.Registerer) *Gate {
	g := &Gate{guard: NewGuard(limits), rules: rules, log: log}
	f := promauto.With(reg)
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "clementinerack_ingress_connections",
		Help: "Number of open connections of callers."}, func() float64 { return float64(g.guard.Usage().Connections) })
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "clementinerack_ingress_bytes", ConstLabels: prometheus.Labels{"kind": "head"},
		Help: "Bytes that the requests of callers hold, by kind."}, func() float64 { return float64(g.guard.Usage().Head) })
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "clementinerack_ingress_bytes", ConstLabels: prometheus.Labels{"kind": "body"},
		Help: "Bytes that the requests of callers hold, by kind."}, func() float64 { return float64(g.guard.Usage().Body) })
	g.ends = f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_ingress_ended_total",
		Help: "Number of connections of callers that were ended or refused, by cause."}, []string{"cause"})
	return g
}

// Attach makes a server apply the gate. Its listener must come from Listen.
func (g *Gate) Attach(server *http.Server) {
	server.Handler = g.handler(server.Handler)
	server.ConnState = observe
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return ConnContext(abort.ConnContext(ctx, c), c)
	}
}

// handler follows the requests that next serves.
func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := fromContext(r.Context()); c != nil {
			// A request that arrived together with the one before it is read in no phase.
			if !c.account.move(inHead, running) && !c.account.move(waiting, running) && c.account.currentPhase() == ended {
				panic(http.ErrAbortHandler)
			}
			c.bodyRead = r.ContentLength == 0
			defer c.finishRequest()
		}
		next.ServeHTTP(w, r)
	})
}

// finishRequest returns what a request holds.
func (c *Conn) finishRequest() {
	if !c.bodyRead && c.account.currentPhase() == running {
		// net/http waits for a part of the body that was not read before it sends the answer.
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection
	}
	c.account.deadline.Store(0)
	c.gate.guard.releaseAll(c.account)
}

// Listen returns a listener whose connections the gate counts, and ends when they break a rule.
func (g *Gate) Listen(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { // a larger buffer costs memory only under attack
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
			})
		}
	}
	return &listener{l, g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, gate: l.gate}
		var victim *Account
		if c.account, victim = l.gate.guard.open(c, time.Now()); c.account == nil {
			l.gate.count(Connections)
			_ = conn.Close()
			continue
		}
		if victim != nil {
			l.gate.endAll([]*Account{victim})
		}
		return c, nil
	}
}

// Run ends connections that break the rules until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(sweepInterval): // a ticker would not keep the interval after a suspension
			g.endAll(g.guard.sweep(time.Now(), g.rules()))
			g.logEnds()
		case <-ctx.Done():
			return
		}
	}
}

// logEnds writes one line about the connections that were ended since the last one, except for
// idle ones.
func (g *Gate) logEnds() {
	g.mu.Lock()
	ends := g.unlogged
	g.unlogged = nil
	g.mu.Unlock()
	if ends != nil {
		g.log.WithFields(ends).Warn("connections of callers ended")
	}
}

// endAll ends the connections that the guard has chosen.
func (g *Gate) endAll(victims []*Account) {
	for _, a := range victims {
		a.conn.end(g.guard.ending(a))
	}
}

// count counts a connection that was ended or refused.
func (g *Gate) count(cause Cause) {
	g.ends.WithLabelValues(string(cause)).Inc()
	if cause == Idle {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unlogged == nil {
		g.unlogged = logrus.Fields{}
	}
	n, _ := g.unlogged[string(cause)].(int)
	g.unlogged[string(cause)] = n + 1
}
