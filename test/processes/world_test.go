//go:build processes

package processes

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/shard"
	"github.com/clementinerack/clementinerack/standins/engine"
	"github.com/clementinerack/clementinerack/standins/fleet"
)

const (
	numShards = 4 // as in the fleet's declarations
	// retryTimeout bounds the retries of one request. It exceeds the time of a
	// takeover: 3 s of silence of the owner, and 10 s more if neither replica answers.
	retryTimeout = 45 * time.Second
	// attemptTimeout bounds one attempt at a request.
	attemptTimeout = 30 * time.Second
	retryDelay     = 200 * time.Millisecond
	bookingPrice   = 20 // this and lookupPrice as in the fleet's declarations
	lookupPrice    = 1
	openingTokens  = 400_000
	domainA        = "ikeja"
	domainB        = "yaba"
)

// budgetKey is the budget of all requests.
var budgetKey = ledger.BudgetKey{Workspace: fleet.Workspace, Budget: fleet.BudgetName}

// testCluster is a running fleet with a record of its callers' requests and of the
// answers to them.
type testCluster struct {
	t     *testing.T
	ctx   context.Context
	fleet *fleet.Fleet

	mu        sync.Mutex
	requests  []*request
	paid      int64 // tokens, including those of unconfirmed top-ups
	numTopUps int
	// mayLoseBills is set by cases that lose an epoch together with its records.
	mayLoseBills bool
	// exhaustsBudget is set by cases that may use up the budget.
	exhaustsBudget bool
}

// requestKind is the kind of work that a request asks for.
type requestKind string

const (
	stream  requestKind = "stream"
	booking requestKind = "booking"
	lookup  requestKind = "lookup"
)

// request is one request of a caller with all attempts at it.
type request struct {
	kind      requestKind
	id        string
	prompt    string
	maxTokens int
	attempts  []attempt
	// finalOutcome is the outcome of the last attempt.
	finalOutcome string
}

// attempt is the result of sending a request once: an answer, or the error that
// ended the connection.
type attempt struct {
	instance string
	answer   fleet.Answer
	err      error
}

// Outcomes of requests.
const answered, notRun, unknown = string(failure.Answered), string(failure.NotRun), string(failure.Unknown)

func (att attempt) String() string {
	return fmt.Sprintf("%s: status %d, outcome %q, kind %q, %d events, done %v, %v", att.instance, att.answer.Status,
		att.answer.Outcome, att.answer.ProblemKind(), att.answer.Events, att.answer.Done, att.err)
}

// outcome returns the outcome of the request according to one attempt.
func (r *request) outcome(att attempt) string {
	switch {
	case att.err != nil:
		return unknown
	case att.answer.Status/100 == 2 && att.answer.Failure == nil && (r.kind != stream || att.answer.Done):
		return answered
	case att.answer.Outcome != "":
		return att.answer.Outcome
	}
	return unknown
}

func (r *request) String() string {
	lines := []string{fmt.Sprintf("%s %s (%q, %d tokens): %s", r.kind, r.id, r.prompt, r.maxTokens, r.finalOutcome)}
	for _, att := range r.attempts {
		lines = append(lines, att.String())
	}
	return strings.Join(lines, "\n    ")
}

// newRequest creates and records a request with an id that the instance issues.
func (tc *testCluster) newRequest(k requestKind, at *fleet.Instance, prompt string, maxTokens int) *request {
	tc.t.Helper()
	var id string
	tc.eventually("request id from "+at.ID, 10*time.Second, func() (err error) {
		id, err = fleet.NewRequestID(tc.ctx, at.Callers)
		return err
	})
	r := &request{kind: k, id: id, prompt: prompt, maxTokens: maxTokens}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.requests = append(tc.requests, r)
	return r
}

// sendOnce sends a request once and checks the answer.
func (tc *testCluster) sendOnce(r *request, at *fleet.Instance) attempt {
	ctx, cancel := context.WithTimeout(tc.ctx, attemptTimeout)
	defer cancel()
	key := fleet.Header{Name: "Idempotency-Key", Value: r.id}
	att := attempt{instance: at.ID}
	switch r.kind {
	case stream:
		att.answer, att.err = fleet.Stream(ctx, at.Callers, r.prompt, r.maxTokens, key)
	case booking:
		att.answer, att.err = fleet.Book(ctx, at.Callers, r.id)
	case lookup:
		att.answer, att.err = fleet.Call(ctx, at.Callers, http.MethodGet, "/v1/apps/"+fleet.AppService+"/addresses", nil, key)
	}
	r.attempts = append(r.attempts, att)
	tc.checkAnswer(r, att)
	return att
}

// checkAnswer verifies I3 and I4 as far as a single answer shows violations.
func (tc *testCluster) checkAnswer(r *request, att attempt) {
	switch a := att.answer; {
	case r.kind == stream && a.Done && a.Text != r.expectedText():
		tc.t.Errorf("I3: a stream ended with [DONE], but its text differs from the generated one: %s\n got %q\nwant %q", r, a.Text, r.expectedText())
	case r.kind == stream && a.Status == http.StatusOK && att.err == nil && !a.Done && a.Failure == nil:
		tc.t.Errorf("I3: a stream ended without [DONE] and without an error event: %s", r)
	case r.outcome(att) == notRun && tc.executionsOf(r) > 0:
		tc.t.Errorf("I4: got the outcome not-run after the request had run: %s", r)
	}
}

// expectedText returns the whole text that an engine generates for a stream.
func (r *request) expectedText() string {
	return strings.Join(engine.GenerateTokens(r.prompt+"\n", 0, r.maxTokens), "")
}

// cost returns the tokens that an answered request is billed.
func (r *request) cost() int64 {
	switch r.kind {
	case booking:
		return bookingPrice
	case lookup:
		return lookupPrice
	}
	return int64(len(strings.Fields(r.prompt)) + len(engine.GenerateTokens(r.prompt+"\n", 0, r.maxTokens)))
}

// isTransient reports whether a retry may succeed after this answer.
func isTransient(a fleet.Answer) bool {
	switch failure.Kind(a.ProblemKind()) {
	case failure.BudgetExhausted, failure.Quarantined, failure.Invalid, failure.OutcomeUnknown, failure.AlreadyAnswered:
		return false
	}
	return true
}

// send sends a request and repeats it under its id, at the given instances in turn,
// until its outcome is known or retryTimeout is over. It returns the final outcome.
func (tc *testCluster) send(r *request, at ...*fleet.Instance) string {
	tc.sendUntil(r, time.Now().Add(retryTimeout), at...)
	return r.finalOutcome
}

// sendUntil is send with a deadline.
func (tc *testCluster) sendUntil(r *request, until time.Time, at ...*fleet.Instance) {
	for n := 0; ; n++ {
		i := at[n%len(at)]
		att := tc.sendOnce(r, i)
		r.finalOutcome = r.outcome(att)
		if r.finalOutcome == answered || att.err == nil && !isTransient(att.answer) || time.Now().After(until) || tc.ctx.Err() != nil {
			return
		}
		time.Sleep(retryDelay)
	}
}

// executionsOf returns how often endpoints ran a request.
func (tc *testCluster) executionsOf(r *request) int {
	n, err := tc.fleet.Executions(r.id)
	if err != nil {
		tc.t.Errorf("executions of %s: %v", r.id, err)
	}
	return n
}

// eventually repeats check until it returns nil, and fails the test after timeout.
func (tc *testCluster) eventually(desc string, timeout time.Duration, check func() error) {
	tc.t.Helper()
	end := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			tc.t.Fatalf("%s: not reached within %s: %v", desc, timeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// instancesIn returns the instances of a domain.
func (tc *testCluster) instancesIn(domain string) []*fleet.Instance {
	var out []*fleet.Instance
	for _, i := range tc.fleet.Instances {
		if i.Domain == domain {
			out = append(out, i)
		}
	}
	return out
}

// endpointsOf returns the endpoints of a service in all domains.
func (tc *testCluster) endpointsOf(service string) []*fleet.Endpoint {
	var out []*fleet.Endpoint
	for _, e := range tc.fleet.Endpoints {
		if e.Service == service {
			out = append(out, e)
		}
	}
	return out
}

// roles are the three instances of a domain by their roles for the budget's shard.
type roles struct{ owner, backup, other *fleet.Instance }

// roles waits until the budget's shard has an owner and a backup in a domain, and
// returns the roles of the domain's instances.
func (tc *testCluster) roles(domain string) (r roles) {
	tc.t.Helper()
	tc.eventually("owner and backup in "+domain, 20*time.Second, func() error {
		data, err := tc.fleet.ReadRecord(tc.ctx, shard.StoreKey(domain))
		if err != nil {
			return err
		}
		m, err := shard.DecodeMap(data)
		if err != nil {
			return err
		}
		e := m.Shards[ledger.ShardOf(budgetKey, numShards)]
		r = roles{}
		for _, i := range tc.instancesIn(domain) {
			switch i.ID {
			case e.Owner.Instance:
				r.owner = i
			case e.Backup.Instance:
				r.backup = i
			default:
				r.other = i
			}
		}
		if r.owner == nil || r.backup == nil || r.other == nil {
			return fmt.Errorf("incomplete roles: %+v", e)
		}
		return nil
	})
	return r
}

// topUp adds tokens to the budget. It repeats the command under its id until it is
// confirmed.
func (tc *testCluster) topUp(amount int64) {
	tc.t.Helper()
	tc.mu.Lock()
	tc.numTopUps++
	command := fmt.Sprintf("top-up-%d", tc.numTopUps)
	tc.paid += amount // counted in advance, since an unconfirmed command may have taken effect; only the final check requires equality
	tc.mu.Unlock()
	tc.eventually(command, retryTimeout, func() error {
		out, err := tc.fleet.Ctl(tc.ctx, "topup", "--command-id", command, budgetKey.String(), fmt.Sprint(amount))
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

// exitCode returns the exit code of clementinectl, or -1 if it has none.
func exitCode(err error) int {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	}
	return -1
}

// setPlatformFaults replaces the faults of the platform stand-in.
func (tc *testCluster) setPlatformFaults(faults map[string]any) {
	tc.t.Helper()
	if err := fleet.SetFaults(tc.ctx, tc.fleet.Platform.Address, faults); err != nil {
		tc.t.Fatal(err)
	}
}

// load is a set of callers, each of which sends one request after another.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// startLoad starts callers that send streams, bookings and lookups and repeat each
// until its outcome is known. A caller starts each request at the next of the given
// instances.
func (tc *testCluster) startLoad(callers int, at ...*fleet.Instance) *load {
	l := &load{stop: make(chan struct{})}
	for n := range callers {
		l.wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				tc.sendAsCaller(n, i, at)
			}
		})
	}
	return l
}

// sendAsCaller sends request i of caller n.
func (tc *testCluster) sendAsCaller(n, i int, at []*fleet.Instance) {
	k := []requestKind{stream, booking, lookup}[(n+i)%3]
	first := (n + i) % len(at)
	order := append(slices.Clone(at[first:]), at[:first]...)
	id := tc.requestIDFromAny(order)
	if id == "" {
		time.Sleep(retryDelay)
		return
	}
	r := &request{kind: k, id: id, prompt: fmt.Sprintf("briefing %d of caller %d", i, n), maxTokens: 60}
	tc.mu.Lock()
	tc.requests = append(tc.requests, r)
	tc.mu.Unlock()
	tc.send(r, order...)
}

// requestIDFromAny returns a request id from the first instance that issues one, or
// "".
func (tc *testCluster) requestIDFromAny(order []*fleet.Instance) string {
	for _, i := range order {
		ctx, cancel := context.WithTimeout(tc.ctx, 2*time.Second)
		id, err := fleet.NewRequestID(ctx, i.Callers)
		cancel()
		if err == nil {
			return id
		}
	}
	return ""
}

// stopAndWait stops the callers once they have the outcome of their last requests.
func (l *load) stopAndWait() {
	close(l.stop)
	l.wg.Wait()
}
