package peer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Label values.
const (
	sent       = "sent"
	received   = "received"
	methodBeat = "beat"
	// methodUnknown stands for methods without a handler, so that a peer cannot
	// create label values at will.
	methodUnknown = "unknown"
)

// Results of connections.
const (
	resultOpened  = "opened"
	resultFailed  = "failed"
	resultRefused = "refused"
	resultSilent  = "silent"
	resultBroken  = "broken"
	resultIdle    = "idle"
	resultClosed  = "closed"
)

type metrics struct {
	messages, bytes *prometheus.CounterVec
	connections     *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	labels := []string{"method", "direction"}
	return &metrics{
		messages: f.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_peer_messages_total",
			Help: "Messages between instances: requests, answers and beats.",
		}, labels),
		bytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_peer_bytes_total",
			Help: "Bytes of messages between instances, without WebSocket, TLS and TCP headers.",
		}, labels),
		connections: f.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_peer_connections_total",
			Help: "Connections between instances that were opened, could not be opened, or ended, by reason.",
		}, []string{"result"}),
	}
}

func (m *metrics) message(method, direction string, size int) {
	m.messages.WithLabelValues(method, direction).Inc()
	m.bytes.WithLabelValues(method, direction).Add(float64(size))
}

func (m *metrics) connection(result string) { m.connections.WithLabelValues(result).Inc() }
