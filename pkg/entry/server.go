package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/relay"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

// Options hold what a Server consumes. All fields but MaxBodyBytes,
// Notify, Samples, Registerer and Log are required.
type Options struct {
	Self          peer.Identity
	Ledger        Ledger
	Configuration Configuration
	Peers         peer.Caller
	Router        Router
	Quarantine    Quarantine
	Relay         *relay.Client
	// MaxBodyBytes bounds the body of a request; 0 means 8 MiB.
	MaxBodyBytes int64
	// Notify tells other instances about deaths of endpoints. It must not block.
	Notify     func([]quarantine.Notice)
	Samples    Samples
	Registerer prometheus.Registerer
	Log        logrus.FieldLogger
}

// Server serves the callers' API. It is safe for concurrent use.
type Server struct {
	opts    Options
	metrics *metrics
	limits  *limits
	table   *table
	settles *settleQueue
	gate    gate
	retries routing.RetryBudget
	calls   atomic.Uint64
	now     func() time.Time
}

var _ http.Handler = (*Server)(nil)

// New returns a server. Close ends its background work.
func New(opts Options) *Server {
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Notify == nil {
		opts.Notify = func([]quarantine.Notice) {}
	}
	if opts.MaxBodyBytes <= 0 {
		opts.MaxBodyBytes = defaultBodyBytes
	}
	m := newMetrics(opts.Registerer)
	return &Server{
		opts: opts, metrics: m, limits: newLimits(), table: newTable(),
		settles: newSettleQueue(opts.Ledger, m, opts.Log), now: time.Now,
	}
}

const (
	chatPath     = "/v1/chat/completions"
	appPrefix    = "/v1/apps/"
	idsPath      = "/v1/request-ids"
	statusPrefix = "/v1/requests/"
)

// ServeHTTP routes by hand, because http.ServeMux would answer a path that is
// not canonical with a redirect, which callers repeat with another method.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	// Until the body is read, and also when a refused request's body is discarded
	// by net/http, a slow sender must not hold the connection.
	newResponder(w).readDeadline(time.Now().Add(bodyTimeout))
	switch {
	case path == chatPath && r.Method == http.MethodPost:
		s.serve(w, r, s.parseChat)
	case strings.HasPrefix(path, appPrefix):
		s.serve(w, r, s.parseApp)
	case path == idsPath && r.Method == http.MethodPost:
		s.issueIDs(w, r)
	case strings.HasPrefix(path, statusPrefix) && r.Method == http.MethodGet:
		s.status(w, r)
	default:
		failure.Write(w, failure.New(failure.NotFound, "see the callers' API for paths and methods",
			"%s %s is not part of the API", r.Method, path))
	}
}
