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

// Options configure a Server. All fields but MaxBodyBytes, Notify, Samples,
// Registerer and Log are required.
type Options struct {
	// Self is the identity of this instance.
	Self          peer.Identity
	Ledger        Ledger
	Configuration Configuration
	Peers         peer.Caller
	Router        Router
	Quarantine    Quarantine
	Relay         *relay.Client
	// MaxBodyBytes bounds the body of a request; 0 means 8 MiB.
	MaxBodyBytes int64
	// Notify sends quarantine notices to other instances after an endpoint died.
	// It must not block.
	Notify     func([]quarantine.Notice)
	Samples    Samples
	Registerer prometheus.Registerer
	Log        logrus.FieldLogger
}

// Server serves the callers' HTTP API. It is safe for concurrent use.
type Server struct {
	opts        Options
	metrics     *metrics
	limits      *workspaceLimits
	requests    *requestTable
	settleQueue *settleQueue
	inFlight    inFlightCounter
	retries     routing.RetryBudget
	callSeq     atomic.Uint64
	now         func() time.Time
}

var _ http.Handler = (*Server)(nil)

// New returns a server. Close stops its background work.
func New(opts Options) *Server {
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Notify == nil {
		opts.Notify = func([]quarantine.Notice) {}
	}
	if opts.MaxBodyBytes <= 0 {
		opts.MaxBodyBytes = defaultMaxBodyBytes
	}
	m := newMetrics(opts.Registerer)
	return &Server{
		opts: opts, metrics: m, limits: newWorkspaceLimits(), requests: newRequestTable(),
		settleQueue: newSettleQueue(opts.Ledger, m, opts.Log), now: time.Now,
	}
}

const (
	chatPath     = "/v1/chat/completions"
	appPrefix    = "/v1/apps/"
	idsPath      = "/v1/request-ids"
	statusPrefix = "/v1/requests/"
)

// ServeHTTP matches paths itself, because http.ServeMux answers a path that is
// not canonical with a redirect, which clients may follow with another method.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	// The deadline keeps a slow sender from holding the connection until the body
	// is read, or while net/http discards the body of a refused request.
	newResponder(w).setReadDeadline(time.Now().Add(bodyReadTimeout))
	switch {
	case path == chatPath && r.Method == http.MethodPost:
		s.serve(w, r, s.parseChat)
	case strings.HasPrefix(path, appPrefix):
		s.serve(w, r, s.parseApp)
	case path == idsPath && r.Method == http.MethodPost:
		s.serveIDs(w, r)
	case strings.HasPrefix(path, statusPrefix) && r.Method == http.MethodGet:
		s.serveStatus(w, r)
	default:
		failure.Write(w, failure.New(failure.NotFound, "see the callers' API for paths and methods",
			"%s %s is not part of the API", r.Method, path))
	}
}
