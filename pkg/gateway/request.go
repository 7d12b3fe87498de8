package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// request is the state of one request of a caller. Only the goroutine of its handler
// uses it.
type request struct {
	g       *Gateway
	w       *abort.Writer
	r       *http.Request
	arrived time.Time

	envelope    Envelope
	catalog     *catalog.Catalog
	route       *catalog.Route
	workspace   *catalog.Workspace
	service     string
	version     *string // software version that must write the rest of the stream, nil if any may
	body        []byte
	deadline    time.Time // of the complete response
	fingerprint quarantine.Fingerprint

	reserved        rights.Tokens // maximum cost, reserved before the first attempt
	rightsWait      time.Duration // for the reservation, also if it failed
	used            rights.Tokens // charged by settle
	deliveredEvents int64         // events with an ID that were forwarded to the caller
	attempts        []attempt
	excluded        map[string]bool // IDs of the endpoints that were already tried
	reachedAttempts int             // attempts that reached an endpoint
	possibleRuns    int             // attempts in which an endpoint may have run the request
	mayHaveRun      bool            // possibleRuns is not 0
	wasRejected     bool            // an endpoint declared that it did not run the request
	cancelRival     func()          // ends the attempt beside the one that is being handled, may be nil
	secondAttempt   string          // how a second attempt beside a slow first one ended, or why there was none
	interruptedBy   error           // that ended the connection of the latest attempt, may be nil
	interrupted     bool            // an endpoint began or may have begun to respond and did not finish

	status     int            // sent to the caller, 0 if none
	err        *failure.Error // why the request was not served
	retryAfter time.Duration  // sent to the caller with err, 0 if none
}

// attempt records one attempt for the log.
type attempt struct {
	endpoint string  // ID
	version  string  // of its software
	rank     int     // placement.Choice.Rank
	cost     float64 // placement.Choice.Cost, in ms
	result   string
	duration time.Duration
}

// prepare matches the request to a route and a workspace, reads its body, and checks
// whether it may run. If it is refused, retryAfter is the delay after which the
// caller may retry, or 0.
func (q *request) prepare() (err *failure.Error, retryAfter time.Duration) {
	g := q.g
	if q.catalog = g.opts.Catalog(); q.catalog == nil {
		return newNotRunError(failure.NotReady, "repeat the request", "no declarations are known yet"), meanRetryDelay
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	if q.route = q.catalog.Route(q.r.Host, path); q.route == nil {
		return newNotRunError(failure.NotFound, "check host and path", "no route matches"), 0
	}
	var decodeErr error
	if q.envelope, decodeErr = g.opts.Codec.Decode(q.r); decodeErr != nil {
		return failure.From(decodeErr).WithOutcome(failure.NotRun), 0
	}
	if !q.route.Public {
		if q.workspace = q.catalog.WorkspaceByKey(q.envelope.Key); q.workspace == nil {
			return newNotRunError(failure.Unauthorized, "send a valid API key", "the API key is not known"), 0
		}
	}
	if q.workspace != nil && !catalog.HaveCommonRegion(q.route.Regions, q.workspace.Regions) {
		return newNotRunError(failure.NoEndpoint, "allow a region in common", "the route and the workspace have no allowed region in common"), 0
	}
	q.deadline = q.arrived.Add(q.route.Timeout)
	if p := q.envelope.Timeout; p > 0 && (q.route.Timeout <= 0 || p < q.route.Timeout) {
		q.deadline = q.arrived.Add(p)
	}
	if err, retryAfter := q.readBody(); err != nil {
		return err, retryAfter
	}
	q.fingerprint = fingerprint(q.r, q.envelope.Key, q.body)
	if err := g.opts.CrashGuard.Check(q.fingerprint, q.arrived); err != nil {
		return failure.From(err).WithOutcome(failure.NotRun), 0
	}
	if err := q.checkTraits(q.arrived); err != nil {
		return failure.From(err).WithOutcome(failure.NotRun), 0
	}
	q.service = pickService(q.route.Targets)
	return nil, 0
}

// newNotRunError returns an error with the outcome failure.NotRun.
func newNotRunError(kind failure.Kind, remedy, message string) *failure.Error {
	return failure.New(kind, remedy, "%s", message).WithOutcome(failure.NotRun)
}

// newStoppingError returns the error of a request that a stopping instance does not run.
func newStoppingError() *failure.Error {
	return newNotRunError(failure.NotReady, "send it to another instance", "the instance is stopping").WithCause(failure.CauseStopping)
}

// fingerprint returns the fingerprint of a request. Equal requests with the same API
// key have equal fingerprints.
func fingerprint(r *http.Request, key string, body []byte) quarantine.Fingerprint {
	h := sha256.New()
	for _, s := range []string{r.Method, r.RequestURI, key} {
		_, _ = io.WriteString(h, s) // hash.Hash.Write never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var f quarantine.Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// pickService chooses the service of a target at random, in proportion to the
// weights.
func pickService(targets []catalog.Target) string {
	var total float64
	for _, t := range targets {
		total += t.Weight
	}
	remaining := rand.Float64() * total
	for _, t := range targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[len(targets)-1].Service
}

// serve reserves rights, runs the attempts and settles the reservation.
func (q *request) serve() {
	ctx := q.r.Context()
	if !q.route.IsRepeatable() && q.route.Kind == catalog.NonRepeatable {
		// A request that must not be repeated is completed even if the caller
		// disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	defer context.AfterFunc(q.g.aborted, cancel)()
	if err := q.resolveOrigin(ctx); err != nil {
		q.refuse(err, admission.Jitter(meanRetryDelay))
		return
	}
	if err, retryAfter := q.reserve(ctx); err != nil {
		q.refuse(err, retryAfter)
		return
	}
	defer q.settle()
	q.g.opts.RetryBudget.RecordRequest(q.service, q.arrived)
	q.excluded = map[string]bool{}
	q.runAttempts(ctx)
}

// reserveTrialShare bounds the search for rights whose result cannot be estimated, as a
// fraction of the route's objective. A caller that is refused early can still be served in
// time by another instance.
const reserveTrialShare = 0.12

// reserve reserves rights for the largest amount that a metered request can use.
// Requests of workspaces without a prepaid amount need none.
func (q *request) reserve(ctx context.Context) (err *failure.Error, retryAfter time.Duration) {
	if !q.envelope.Metered || q.workspace == nil || q.workspace.Prepaid == nil {
		return nil, 0
	}
	amount := q.envelope.PromptTokens.Plus(q.envelope.MaxOutput)
	if amount > *q.workspace.Prepaid || amount == tokens.Max {
		return newNotRunError(failure.Limited, "pay in more, or ask for less", "the request may use more than the workspace has prepaid").WithCause(failure.CauseRights), admission.Jitter(meanRetryDelay)
	}
	now := time.Now()
	patience := admission.Patience{Deadline: q.deadline, Trial: time.Duration(float64(q.route.Objective) * reserveTrialShare)}
	if q.route.Objective > 0 {
		patience.Objective = q.arrived.Add(q.route.Objective)
	}
	err, retryAfter = q.g.opts.Rights.Reserve(ctx, Reservation{Workspace: q.workspace.Name, Tokens: amount, Priority: q.priority(), Patience: patience})
	q.rightsWait = time.Since(now)
	switch {
	case err == nil:
		q.reserved = amount
	case q.g.aborted.Err() != nil:
		return newStoppingError(), otherInstanceRetryDelay
	case q.r.Context().Err() != nil:
		return newCallerLeftError().WithOutcome(failure.NotRun), 0
	}
	return err, retryAfter
}

// settle ends the reservation. It charges the prompt and output tokens if an endpoint
// may have run the request, and nothing otherwise.
func (q *request) settle() {
	if q.reserved == 0 {
		return
	}
	if q.mayHaveRun {
		q.used = min(q.reserved, q.envelope.PromptTokens.Plus(q.outputTokens()))
	}
	q.g.opts.Rights.Settle(q.workspace.Name, q.reserved, q.used)
}

// outputTokens returns the output tokens to charge: those of the forwarded events if
// the service declares the tokens per event, and the maximum otherwise.
func (q *request) outputTokens() rights.Tokens {
	if s := q.catalog.Service(q.service); s != nil && s.Engine != nil && s.Engine.TokensPerEvent > 0 {
		return min(q.envelope.MaxOutput, s.Engine.TokensPerEvent.Times(q.deliveredEvents))
	}
	return q.envelope.MaxOutput
}

// refuse answers with an error of this instance, also if the caller has disconnected: one that
// has closed only its sending side still reads.
func (q *request) refuse(err *failure.Error, retryAfter time.Duration) {
	q.err, q.retryAfter = err, retryAfter
	q.status = q.g.opts.Codec.WriteError(q.w, err, retryAfter)
	q.w.Complete()
}

func (q *request) newPlacementRequest() placement.Request {
	return placement.Request{Service: q.service, Parts: q.envelope.PromptParts, Exclude: q.excluded,
		Version: q.version, MayBegin: q.mayBegin(), Regions: q.regions()}
}

// regions returns the lists of allowed regions that bind the request.
func (q *request) regions() [][]string {
	switch {
	case q.workspace != nil && len(q.workspace.Regions) > 0:
		return [][]string{q.route.Regions, q.workspace.Regions}
	case len(q.route.Regions) > 0:
		return [][]string{q.route.Regions}
	}
	return nil
}

// recordResult logs the result of the request in one line and updates the metrics.
func (q *request) recordResult() {
	duration := time.Since(q.arrived)
	result := "served"
	f := logrus.Fields{"request": q.envelope.ID, "status": q.status, "ms": duration.Milliseconds(), "response": q.w.State()}
	if q.catalog != nil {
		f["version"] = q.catalog.Version
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
		f["route"], f["kind"] = route, q.route.Kind.String()
	}
	if q.workspace != nil {
		f["workspace"] = q.workspace.Name
	}
	if q.reserved > 0 {
		f["reserved"], f["used"], f["events"] = q.reserved, q.used, q.deliveredEvents
	}
	if ms := q.rightsWait.Milliseconds(); ms > 0 {
		f["rights_wait_ms"] = ms
	}
	if q.envelope.ResumeAfter != "" {
		f["resumes"], f["after"] = q.envelope.Resumes, q.envelope.ResumeAfter
	}
	if len(q.attempts) > 0 {
		f["attempts"] = q.formatAttempts()
	}
	if q.secondAttempt != "" {
		f["second_attempt"] = q.secondAttempt
	}
	if parts := q.formatSharedParts(); q.interrupted && parts != "" {
		f["parts"] = parts
	}
	if q.err != nil {
		result = string(q.err.Kind)
		f["error"] = q.err.Message
		f["outcome"] = string(q.err.Outcome)
		f["cause"] = string(failure.CauseOf(q.err))
		if q.retryAfter > 0 {
			f["retry_after_ms"] = q.retryAfter.Milliseconds()
		}
	}
	if q.r.Context().Err() != nil {
		f["caller"] = "left"
	}
	q.g.metrics.observeRequest(q.routeKind(), result, duration)
	if q.err != nil {
		q.g.metrics.observeUnserved(failure.CauseOf(q.err), q.workspaceName(), q.routeKind())
	}
	q.g.metrics.responses.WithLabelValues(string(q.w.State())).Inc()
	q.g.opts.Log.WithFields(f).Info("request " + result)
}

// workspaceName returns the name of the workspace for metrics, "none" without one.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return "none"
	}
	return q.workspace.Name
}

// routeKind returns the kind of the route for metrics, "none" without a route.
func (q *request) routeKind() string {
	if q.route == nil {
		return "none"
	}
	return q.route.Kind.String()
}

// formatSharedParts returns the IDs of the parts of the prompt without the last one, which
// belongs to the request alone.
func (q *request) formatSharedParts() string {
	var b strings.Builder
	for i := range len(q.envelope.PromptParts) - 1 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(q.envelope.PromptParts[i].ID, 16))
	}
	return b.String()
}

func (q *request) formatAttempts() string {
	var b strings.Builder
	for i, a := range q.attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(a.String())
	}
	return b.String()
}
