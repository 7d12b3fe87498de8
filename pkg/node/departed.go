package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// departedSweepInterval is the interval of the search for idle connections to endpoints that
// have left. Endpoints serve for some seconds after they have said so.
const departedSweepInterval = time.Second

// departedCloser closes the idle connections to endpoints that have left. Nothing else does:
// connections are checked when they are reused, which those are not.
type departedCloser struct {
	pool   *placement.Pool
	client *upstream.Client
	closed prometheus.Counter
}

func newDepartedCloser(pool *placement.Pool, client *upstream.Client, reg prometheus.Registerer) *departedCloser {
	return &departedCloser{pool, client, promauto.With(reg).NewCounter(prometheus.CounterOpts{Name: "clementinerack_upstream_departed_closed_total",
		Help: "Number of idle connections that were closed because their endpoint has left."})}
}

// run closes such connections until ctx ends.
func (d *departedCloser) run(ctx context.Context) {
	ticker := time.NewTicker(departedSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.closed.Add(float64(d.client.CloseIdleExcept(d.pool.ServingAddresses())))
		case <-ctx.Done():
			return
		}
	}
}
