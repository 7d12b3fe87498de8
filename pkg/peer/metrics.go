package peer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Label values of method and direction.
const (
	directionSent     = "sent"
	directionReceived = "received"
	methodKeepalive   = "beat"
	// methodUnknown replaces the names of methods without a handler, so that a
	// peer cannot create arbitrary label values. It also labels answers without
	// a pending call.
	methodUnknown = "unknown"
)

// Label values of the result of a connection.
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
			Help: "Messages between instances: requests, answers and keepalives.",
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

func (m *metrics) countMessage(method, direction string, size int) {
	m.messages.WithLabelValues(method, direction).Inc()
	m.bytes.WithLabelValues(method, direction).Add(float64(size))
}

func (m *metrics) countConnection(result string) { m.connections.WithLabelValues(result).Inc() }
