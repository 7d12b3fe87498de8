package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// request is one request of a caller, used by its own goroutine.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	envelope    Envelope
	catalog     *catalog.Catalog
	route       *catalog.Route
	workspace   *catalog.Workspace
	service     string
	body        []byte
	deadline    time.Time // of the final answer
	fingerprint quarantine.Fingerprint

	reserved rights.Tokens
	used     rights.Tokens
	events   int64 // delivered
	attempts []attempt
	excluded map[string]bool
	arrivals int  // attempts that reached an endpoint
	sends    int  // attempts that an endpoint may have run
	mayRun   bool // an endpoint may run or have run it
	broken   bool // the answer to the caller has begun and cannot be ended

	status int            // told to the caller
	err    *failure.Error // why it was not served
	after  time.Duration  // when to come back, as told
}

// attempt is one try at an endpoint, for the log.
type attempt struct {
	endpoint string
	rank     int
	cost     float64
	result   string
	took     time.Duration
}

// maxHeldBody bounds a request body where the declarations set no limit.
const maxHeldBody = 8 << 20

// prepare finds out what the request is and whether it may run. after tells when
// a refused request may come back.
func (q *request) prepare() (err *failure.Error, after time.Duration) {
	g := q.g
	if q.catalog = g.opts.Catalog(); q.catalog == nil {
		return notRun(failure.NotReady, "repeat the request", "no declarations are known yet"), againLater
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	if q.route = q.catalog.Route(q.r.Host, path); q.route == nil {
		return notRun(failure.NotFound, "check host and path", "no route matches"), 0
	}
	var decodeErr error
	if q.envelope, decodeErr = g.opts.Codec.Decode(q.r); decodeErr != nil {
		return failure.From(decodeErr).WithOutcome(failure.NotRun), 0
	}
	if !q.route.Public {
		if q.workspace = q.catalog.WorkspaceByKey(q.envelope.Key); q.workspace == nil {
			return notRun(failure.Unauthorized, "send a valid API key", "the API key is not known"), 0
		}
	}
	q.deadline = q.arrived.Add(q.route.Timeout)
	if p := q.envelope.Timeout; p > 0 && (q.route.Timeout <= 0 || p < q.route.Timeout) {
		q.deadline = q.arrived.Add(p)
	}
	if err := q.readBody(); err != nil {
		return err, 0
	}
	q.fingerprint = fingerprint(q.r, q.envelope.Key, q.body)
	if err := g.opts.CrashGuard.Check(q.fingerprint, q.arrived); err != nil {
		return failure.From(err).WithOutcome(failure.NotRun), 0
	}
	q.service = pickTarget(q.route.Targets)
	return nil, 0
}

func notRun(kind failure.Kind, remedy, message string) *failure.Error {
	return failure.New(kind, remedy, "%s", message).WithOutcome(failure.NotRun)
}

// fingerprint identifies equal requests of one caller.
func fingerprint(r *http.Request, key string, body []byte) quarantine.Fingerprint {
	h := sha256.New()
	for _, s := range []string{r.Method, r.RequestURI, key} {
		_, _ = io.WriteString(h, s) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var f quarantine.Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// pickTarget draws a service by weight.
func pickTarget(targets []catalog.Target) string {
	var total float64
	for _, t := range targets {
		total += t.Weight
	}
	at := rand.Float64() * total
	for _, t := range targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[len(targets)-1].Service
}

// readBody holds the whole body, so that it can be sent again.
func (q *request) readBody() *failure.Error {
	limit := q.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = maxHeldBody
	}
	if q.r.ContentLength > limit {
		return notRun(failure.Invalid, "send less", "the body exceeds the limit")
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	var body []byte
	var err error
	if q.r.ContentLength > 0 {
		body = make([]byte, q.r.ContentLength)
		_, err = io.ReadFull(q.r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(q.r.Body, limit+1))
	}
	switch {
	case err != nil:
		return notRun(failure.Invalid, "send the whole body", "the body broke off")
	case int64(len(body)) > limit:
		return notRun(failure.Invalid, "send less", "the body exceeds the limit")
	}
	q.body = body
	return nil
}

// serve reserves rights and makes attempts until there is an answer.
func (q *request) serve() {
	ctx := q.r.Context()
	if !q.route.IsRepeatable() && q.route.Kind == catalog.NonRepeatable {
		// What must not be repeated is not broken off because the caller left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if err := q.reserve(ctx); err != nil {
		q.refuse(err, jitter(againLater))
		return
	}
	defer q.settle()
	q.g.opts.RetryBudget.RecordRequest(q.service, q.arrived)
	q.excluded = map[string]bool{}
	q.run(ctx)
}

// rightsShare is the part of the objective that a request waits for rights at
// most: a caller that is refused sooner can still be served in time elsewhere.
const rightsShare = 0.12

func (q *request) reserve(ctx context.Context) *failure.Error {
	if !q.envelope.Metered || q.workspace == nil || q.workspace.Prepaid == nil {
		return nil
	}
	most := q.envelope.PromptTokens + q.envelope.MaxOutput
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(q.route.Objective)*rightsShare))
	defer cancel()
	if err := q.g.opts.Rights.Reserve(ctx, q.workspace.Name, most); err != nil {
		return err
	}
	q.reserved = most
	return nil
}

// settle charges the prompt once the request may have run, and the delivered
// output.
func (q *request) settle() {
	if q.reserved == 0 {
		return
	}
	if q.mayRun {
		q.used = min(q.reserved, q.envelope.PromptTokens+q.outputTokens())
	}
	q.g.opts.Rights.Settle(q.workspace.Name, q.reserved, q.used)
}

func (q *request) outputTokens() rights.Tokens {
	if s := q.catalog.Service(q.service); s != nil && s.Engine != nil && s.Engine.TokensPerEvent > 0 {
		return min(q.envelope.MaxOutput, q.events*s.Engine.TokensPerEvent)
	}
	return q.envelope.MaxOutput
}

// refuse answers in the name of this instance, unless the caller has left.
func (q *request) refuse(err *failure.Error, after time.Duration) {
	q.err, q.after = err, after
	q.status = failure.Status(err.Kind)
	if errors.Is(q.r.Context().Err(), context.Canceled) {
		return
	}
	q.g.opts.Codec.WriteError(q.w, err, after)
}

// jitter spreads the return of callers that are refused together.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}

func (q *request) placementRequest() placement.Request {
	return placement.Request{Service: q.service, Parts: q.envelope.PromptParts, Exclude: q.excluded}
}

// log writes the one line of the request and counts it.
func (q *request) log() {
	took := time.Since(q.arrived)
	result := "served"
	f := logrus.Fields{"request": q.envelope.ID, "status": q.status, "ms": took.Milliseconds()}
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
		f["reserved"], f["used"], f["events"] = q.reserved, q.used, q.events
	}
	if len(q.attempts) > 0 {
		f["attempts"] = q.attemptsText()
	}
	if q.err != nil {
		result = string(q.err.Kind)
		f["error"] = q.err.Message
		f["outcome"] = string(q.err.Outcome)
		if q.after > 0 {
			f["retry_after_ms"] = q.after.Milliseconds()
		}
	}
	if q.r.Context().Err() != nil {
		f["caller"] = "left"
	}
	q.g.metrics.request(q.kindName(), result, took)
	q.g.opts.Log.WithFields(f).Info("request " + result)
}

func (q *request) kindName() string {
	if q.route == nil {
		return "none"
	}
	return q.route.Kind.String()
}

func (q *request) attemptsText() string {
	var b strings.Builder
	for i, a := range q.attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(a.String())
	}
	return b.String()
}
