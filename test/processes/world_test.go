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
	shards = 4 // of the fleet's declarations
	// patience bounds the retries of one request: a takeover after an owner was
	// silent takes 3 s, and 10 s more when neither replica answers.
	patience = 45 * time.Second
	// tryTimeout bounds one call.
	tryTimeout   = 30 * time.Second
	retryPause   = 200 * time.Millisecond
	bookingPrice = 20 // of the fleet's declarations
	lookupPrice  = 1
	openingPaid  = 400_000
	domainA      = "ikeja"
	domainB      = "yaba"
)

var budget = ledger.BudgetKey{Workspace: fleet.Workspace, Budget: fleet.BudgetName}

// world is a running fleet with what its callers asked and were told.
type world struct {
	t   *testing.T
	ctx context.Context
	f   *fleet.Fleet

	mu       sync.Mutex
	requests []*request
	paid     int64
	commands int
	// mayLoseBills is set by cases in which an epoch is lost with its records.
	mayLoseBills bool
	// tight is set by cases that use the budget up.
	tight bool
}

// kind is a traffic class.
type kind string

const (
	stream  kind = "stream"
	booking kind = "booking"
	lookup  kind = "lookup"
)

// request is one request of a caller with all answers to its repeats.
type request struct {
	kind      kind
	id        string
	prompt    string
	maxTokens int
	told      []told
	// final is the outcome of the last answer.
	final string
}

// told is one answer, or the error of a broken connection.
type told struct {
	instance string
	answer   fleet.Answer
	err      error
}

const answered, notRun, unknown = string(failure.Answered), string(failure.NotRun), string(failure.Unknown)

func (t told) String() string {
	return fmt.Sprintf("%s: status %d, outcome %q, kind %q, %d events, done %v, %v", t.instance, t.answer.Status,
		t.answer.Outcome, t.answer.ProblemKind(), t.answer.Events, t.answer.Done, t.err)
}

// outcome is what an answer tells about its request.
func (r *request) outcome(t told) string {
	switch {
	case t.err != nil:
		return unknown
	case t.answer.Status/100 == 2 && t.answer.Failure == nil && (r.kind != stream || t.answer.Done):
		return answered
	case t.answer.Outcome != "":
		return t.answer.Outcome
	}
	return unknown
}

func (r *request) String() string {
	lines := []string{fmt.Sprintf("%s %s (%q, %d tokens): %s", r.kind, r.id, r.prompt, r.maxTokens, r.final)}
	for _, t := range r.told {
		lines = append(lines, t.String())
	}
	return strings.Join(lines, "\n    ")
}

// newRequest takes an id from an instance.
func (w *world) newRequest(k kind, at *fleet.Instance, prompt string, maxTokens int) *request {
	w.t.Helper()
	var id string
	w.eventually("request id from "+at.ID, 10*time.Second, func() (err error) {
		id, err = fleet.NewRequestID(w.ctx, at.Callers)
		return err
	})
	r := &request{kind: k, id: id, prompt: prompt, maxTokens: maxTokens}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, r)
	return r
}

// try sends a request once.
func (w *world) try(r *request, at *fleet.Instance) told {
	ctx, cancel := context.WithTimeout(w.ctx, tryTimeout)
	defer cancel()
	key := fleet.Header{Name: "Idempotency-Key", Value: r.id}
	t := told{instance: at.ID}
	switch r.kind {
	case stream:
		t.answer, t.err = fleet.Stream(ctx, at.Callers, r.prompt, r.maxTokens, key)
	case booking:
		t.answer, t.err = fleet.Book(ctx, at.Callers, r.id)
	case lookup:
		t.answer, t.err = fleet.Call(ctx, at.Callers, http.MethodGet, "/v1/apps/"+fleet.AppService+"/addresses", nil, key)
	}
	r.told = append(r.told, t)
	w.checkAnswer(r, t)
	return t
}

// checkAnswer verifies what a caller can see of one answer at once.
func (w *world) checkAnswer(r *request, t told) {
	switch a := t.answer; {
	case r.kind == stream && a.Done && a.Text != r.text():
		w.t.Errorf("I3: a stream ended with [DONE], but its text differs from the generated one: %s\n got %q\nwant %q", r, a.Text, r.text())
	case r.kind == stream && a.Status == http.StatusOK && t.err == nil && !a.Done && a.Failure == nil:
		w.t.Errorf("I3: a stream ended without [DONE] and without an error event: %s", r)
	case r.outcome(t) == notRun && w.executions(r) > 0:
		w.t.Errorf("I4: told not-run after the request had run: %s", r)
	}
}

// text is the whole answer that engines generate for a stream.
func (r *request) text() string {
	return strings.Join(engine.GenerateTokens(r.prompt+"\n", 0, r.maxTokens), "")
}

// cost is what an answered request is billed.
func (r *request) cost() int64 {
	switch r.kind {
	case booking:
		return bookingPrice
	case lookup:
		return lookupPrice
	}
	return int64(len(strings.Fields(r.prompt)) + len(engine.GenerateTokens(r.prompt+"\n", 0, r.maxTokens)))
}

// passing reports whether a refusal may end by itself.
func passing(a fleet.Answer) bool {
	switch failure.Kind(a.ProblemKind()) {
	case failure.BudgetExhausted, failure.Quarantined, failure.Invalid, failure.OutcomeUnknown, failure.AlreadyAnswered:
		return false
	}
	return true
}

// send sends a request and repeats it under its id at the next of the given
// instances until its outcome is known or the patience is over.
func (w *world) send(r *request, at ...*fleet.Instance) string {
	w.retry(r, time.Now().Add(patience), at...)
	return r.final
}

func (w *world) retry(r *request, until time.Time, at ...*fleet.Instance) {
	for n := 0; ; n++ {
		i := at[n%len(at)]
		t := w.try(r, i)
		r.final = r.outcome(t)
		if r.final == answered || t.err == nil && !passing(t.answer) || time.Now().After(until) || w.ctx.Err() != nil {
			return
		}
		time.Sleep(retryPause)
	}
}

func (w *world) executions(r *request) int {
	n, err := w.f.Executions(r.id)
	if err != nil {
		w.t.Errorf("executions of %s: %v", r.id, err)
	}
	return n
}

// eventually repeats ok until it succeeds or the time is over.
func (w *world) eventually(what string, limit time.Duration, ok func() error) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := ok()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("%s: not within %s: %v", what, limit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// in returns the instances of a domain.
func (w *world) in(domain string) []*fleet.Instance {
	var out []*fleet.Instance
	for _, i := range w.f.Instances {
		if i.Domain == domain {
			out = append(out, i)
		}
	}
	return out
}

// endpoints returns the endpoints of a service, in all domains.
func (w *world) endpoints(service string) []*fleet.Endpoint {
	var out []*fleet.Endpoint
	for _, e := range w.f.Endpoints {
		if e.Service == service {
			out = append(out, e)
		}
	}
	return out
}

// roles of the budget's shard in a domain of three instances.
type roles struct{ owner, backup, other *fleet.Instance }

// roles waits until the budget's shard has an owner and a backup.
func (w *world) roles(domain string) (r roles) {
	w.t.Helper()
	w.eventually("owner and backup in "+domain, 20*time.Second, func() error {
		data, err := w.f.ReadRecord(w.ctx, shard.StoreKey(domain))
		if err != nil {
			return err
		}
		m, err := shard.DecodeMap(data)
		if err != nil {
			return err
		}
		e := m.Shards[ledger.ShardOf(budget, shards)]
		r = roles{}
		for _, i := range w.in(domain) {
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
			return fmt.Errorf("roles %+v", e)
		}
		return nil
	})
	return r
}

// topUp pays into the budget and repeats the command under its id until it is
// confirmed.
func (w *world) topUp(amount int64) {
	w.t.Helper()
	w.mu.Lock()
	w.commands++
	command := fmt.Sprintf("top-up-%d", w.commands)
	w.paid += amount // at the latest when the command is sent; only the check at the end compares it exactly
	w.mu.Unlock()
	w.eventually(command, patience, func() error {
		out, err := w.f.Ctl(w.ctx, "topup", "--command-id", command, budget.String(), fmt.Sprint(amount))
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

// exitCode is the exit code of clementinectl.
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

func (w *world) platformFaults(faults map[string]any) {
	w.t.Helper()
	if err := fleet.SetFaults(w.ctx, w.f.Platform.Address, faults); err != nil {
		w.t.Fatal(err)
	}
}

// load is a number of callers that send requests one after another.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// startLoad runs callers that send streams, bookings and lookups, each repeated
// until its outcome is known. Caller n starts at instance n of the given ones.
func (w *world) startLoad(callers int, at ...*fleet.Instance) *load {
	l := &load{stop: make(chan struct{})}
	for n := range callers {
		l.wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				w.caller(n, i, at)
			}
		})
	}
	return l
}

func (w *world) caller(n, i int, at []*fleet.Instance) {
	k := []kind{stream, booking, lookup}[(n+i)%3]
	first := (n + i) % len(at)
	order := append(slices.Clone(at[first:]), at[:first]...)
	id := w.idFromAny(order)
	if id == "" {
		time.Sleep(retryPause)
		return
	}
	r := &request{kind: k, id: id, prompt: fmt.Sprintf("briefing %d of caller %d", i, n), maxTokens: 60}
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.mu.Unlock()
	w.send(r, order...)
}

// idFromAny asks the instances in turn for an id.
func (w *world) idFromAny(order []*fleet.Instance) string {
	for _, i := range order {
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		id, err := fleet.NewRequestID(ctx, i.Callers)
		cancel()
		if err == nil {
			return id
		}
	}
	return ""
}

// end waits until the callers have the outcome of their last requests.
func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}
