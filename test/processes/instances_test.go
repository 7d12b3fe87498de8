//go:build processes

package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/engine"
	"github.com/clementinerack/clementinerack/standins/fleet"
)

const (
	// beforeFault lets requests get under way.
	beforeFault = 1500 * time.Millisecond
	// pauseTime is longer than the 3 s of silence after which an instance
	// counts as gone.
	pauseTime = 6 * time.Second
	callers   = 6
)

func faultCases() []faultCase {
	return []faultCase{
		{desc: "owner killed", invariants: "I1,I2,I3,I4,I5", run: ownerKilled},
		{desc: "entry instance killed with a stream open", invariants: "I1,I2,I3,I4,I5", run: entryKilled},
		{desc: "owner paused", invariants: "I1,I2,I3,I4,I5", run: func(w *world) { paused(w, w.roles(domainA).owner) }},
		{desc: "backup paused", invariants: "I1,I2,I3,I4,I5", run: func(w *world) { paused(w, w.roles(domainA).backup) }},
		{desc: "platform restarted", invariants: "I1,I2,I3,I4,I5", run: platformRestarted},
		{desc: "platform paused, slow and without answers", invariants: "I1,I2,I3,I4,I5", run: platformDisturbed},
		{desc: "domain cut from the platform", invariants: "I1,I2,I3,I4,I5",
			options: func(o *fleet.Options) { o.Budget = 8_000 }, run: domainCut},
		{desc: "platform and owner lost", invariants: "I1,I2,I3,I4,I5", run: platformAndOwnerLost},
		{desc: "owner and backup killed", invariants: "I1,I2,I3,I4,I5", run: ownerAndBackupKilled},
		{desc: "engine killed in a stream", invariants: "I2,I3,I4", run: engineKilled},
		{desc: "engine silent", invariants: "I2,I3", run: engineFault(map[string]any{"silent_after": 5})},
		{desc: "engine cut", invariants: "I2,I3", run: engineFault(map[string]any{"cut_after": 5})},
		{desc: "engine duplicates events", invariants: "I2,I3", run: engineFault(map[string]any{"duplicate_events": true})},
		{desc: "engine reorders events", invariants: "I2,I3", run: engineFault(map[string]any{"reorder_events": true})},
		{desc: "app killed during a booking", invariants: "I2,I4,I5", run: appKilled},
		{desc: "request that crashes endpoints", invariants: "I3,I4", run: crashingRequest},
		{desc: "endpoint drained by its own signal", invariants: "I3,I6", run: drainedBySignal},
		{desc: "endpoint drained by the platform's list", invariants: "I3,I6", run: drainedByList},
		{desc: "rolling replacement", invariants: "I1,I2,I3,I4,I5,I7", run: rollingReplacement},
		{desc: "operators race", invariants: "I8", run: operatorsRace},
		{desc: "change reaches an instance without the platform", invariants: "I8", run: changeWithoutPlatform},
		{desc: "first draw on a budget during an outage of the platform", invariants: "I1,I4", run: firstDraw},
		{desc: "fresh instance during an outage of the platform", invariants: "I4,I8", run: freshInstance},
	}
}

// underLoad runs fault while callers use the given instances.
func (w *world) underLoad(at []*fleet.Instance, fault func()) {
	l := w.startLoad(callers, at...)
	defer l.end()
	time.Sleep(beforeFault)
	fault()
	time.Sleep(beforeFault)
}

func (w *world) start(i *fleet.Instance) {
	w.t.Helper()
	if err := w.f.StartInstance(i); err != nil {
		w.t.Error(err)
	}
}

func ownerKilled(w *world) {
	r := w.roles(domainA)
	w.underLoad(w.in(domainA), func() {
		r.owner.Kill()
		time.Sleep(pauseTime)
	})
	w.start(r.owner)
}

// longPrompt returns a prompt whose answer is long enough to be broken off.
func longPrompt(name string) string {
	const longAnswer = 100
	for n := 0; ; n++ {
		prompt := fmt.Sprintf("long briefing %d of %s", n, name)
		if len(engine.GenerateTokens(prompt+"\n", 0, 0)) >= longAnswer {
			return prompt
		}
	}
}

func entryKilled(w *world) {
	r := w.roles(domainA)
	var wg sync.WaitGroup
	for n := range 4 {
		k := []kind{stream, booking}[n/2]
		req := w.newRequest(k, r.other, longPrompt(fmt.Sprint(n)), 500)
		wg.Go(func() { w.send(req, r.other, r.owner, r.backup) })
	}
	time.Sleep(700 * time.Millisecond)
	r.other.Kill()
	wg.Wait()
	for _, req := range w.requests {
		if req.kind == stream && req.final != answered {
			w.t.Errorf("I3: a repeat by id at another instance got no whole answer: %s", req)
		}
	}
	w.start(r.other)
}

func paused(w *world, i *fleet.Instance) {
	w.underLoad(w.in(domainA), func() {
		if err := i.Pause(); err != nil {
			w.t.Error(err)
		}
		time.Sleep(pauseTime)
		if err := i.Resume(); err != nil {
			w.t.Error(err)
		}
	})
}

func (w *world) stopPlatform() {
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	if err := w.f.Platform.Terminate(ctx); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) startPlatform() {
	if err := w.f.StartPlatform(w.f.Platform.Address); err != nil {
		w.t.Fatal(err)
	}
}

func platformRestarted(w *world) {
	w.underLoad(w.f.Instances, func() {
		var wg sync.WaitGroup
		w.stopPlatform()
		wg.Go(func() { w.topUp(1_000) }) // succeeds once the platform is back
		time.Sleep(pauseTime)
		w.startPlatform()
		wg.Wait()
	})
	w.mustBePaid()
}

// mustBePaid checks that each top-up took effect exactly once.
func (w *world) mustBePaid() {
	if b := w.budget(); int64(b.Paid) != w.paid {
		w.t.Errorf("I1: %d tokens paid in, the record says %d", w.paid, b.Paid)
	}
}

func platformDisturbed(w *world) {
	w.underLoad(w.f.Instances, func() {
		if err := w.f.Platform.Pause(); err != nil {
			w.t.Error(err)
		}
		time.Sleep(4 * time.Second)
		if err := w.f.Platform.Resume(); err != nil {
			w.t.Error(err)
		}
		w.platformFaults(map[string]any{"slow_ms": 1500})
		w.topUp(1_000)
		time.Sleep(4 * time.Second)
		for range 3 {
			w.platformFaults(map[string]any{"lose_answers": 2})
			w.topUp(1_000)
		}
		w.platformFaults(map[string]any{})
	})
	w.mustBePaid()
}

// ids returns the ids by which the platform knows instances.
func ids(instances []*fleet.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.ID)
	}
	return out
}

// domainCut draws a small budget down on both sides of a partition.
func domainCut(w *world) {
	w.tight = true
	w.underLoad(w.f.Instances, func() {
		w.platformFaults(map[string]any{"cut_clients": ids(w.in(domainA))})
		time.Sleep(pauseTime)
		w.mu.Lock()
		w.paid += 2_000
		w.mu.Unlock()
		if out, err := w.f.CtlAt(w.ctx, w.in(domainB), "topup", "--command-id", "during-the-cut", budget.String(), "2000"); err != nil {
			w.t.Errorf("top-up on the side that reaches the platform: %v: %s", err, out)
		}
		time.Sleep(pauseTime)
		w.platformFaults(map[string]any{})
	})
	w.mustBePaid()
}

func platformAndOwnerLost(w *world) {
	r := w.roles(domainA)
	w.underLoad(w.in(domainA), func() {
		w.stopPlatform()
		r.owner.Kill()
		time.Sleep(pauseTime)
		w.startPlatform()
		time.Sleep(pauseTime)
	})
	w.start(r.owner)
}

func ownerAndBackupKilled(w *world) {
	w.mayLoseBills = true
	r := w.roles(domainA)
	w.underLoad(w.in(domainA), func() {
		r.owner.Kill()
		r.backup.Kill()
		time.Sleep(16 * time.Second) // silence, and 10 s of fencing
	})
	w.start(r.owner)
	w.start(r.backup)
}

// rollingReplacement stops and starts each instance under load. The platform's
// load balancer is played by callers that go to the next instance when one is
// not ready.
func rollingReplacement(w *world) {
	w.underLoad(w.f.Instances, func() {
		for _, i := range w.f.Instances {
			ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
			if err := i.Terminate(ctx); err != nil {
				w.t.Errorf("I7: %v", err)
			}
			cancel()
			w.start(i)
			if err := w.f.WaitReady(w.ctx, i); err != nil {
				w.t.Error(err)
			}
		}
	})
	for _, r := range w.requests {
		if r.final != answered {
			w.t.Errorf("I7: not answered: %s", r)
		}
		for _, t := range r.told {
			if t.answer.Status == http.StatusOK && r.outcome(t) != answered {
				w.t.Errorf("I7: interrupted: %s", r)
			}
		}
	}
}

// generation returns the generation in force as an instance sees it.
func (w *world) generation(at *fleet.Instance) uint64 {
	out, err := w.f.CtlAt(w.ctx, []*fleet.Instance{at}, "config")
	var doc struct{ Generation uint64 }
	if err == nil {
		err = json.Unmarshal([]byte(out), &doc)
	}
	if err != nil {
		w.t.Fatalf("configuration at %s: %v: %s", at.ID, err, out)
	}
	return doc.Generation
}

func operatorsRace(w *world) {
	const conflict = 3
	for round := range 5 {
		command := []string{"retire", "restore"}[round%2]
		expect := fmt.Sprint(w.generation(w.f.Instances[0]))
		codes := make([]int, 2)
		outputs := make([]string, 2)
		var wg sync.WaitGroup
		for n := range codes {
			at := w.f.Instances[3*n : 3*n+1]
			wg.Go(func() {
				out, err := w.f.CtlAt(w.ctx, at, command, w.f.Endpoints[n].ID, "--expect", expect)
				codes[n], outputs[n] = exitCode(err), out
			})
		}
		wg.Wait()
		if slices.Sort(codes); codes[0] != 0 || codes[1] != conflict {
			w.t.Errorf("I8: round %d: exit codes %v, want 0 and %d: %q", round, codes, conflict, outputs)
		}
		w.eventually("the first instance learns the change", 5*time.Second, func() error {
			if got := w.generation(w.f.Instances[0]); fmt.Sprint(got) == expect {
				return fmt.Errorf("generation %d", got)
			}
			return nil
		})
	}
	for _, e := range w.f.Endpoints[:2] {
		if out, err := w.f.Ctl(w.ctx, "restore", e.ID); err != nil {
			w.t.Errorf("restore: %v: %s", err, out)
		}
	}
}

// confirmed returns an error unless each instance has a generation in force. It
// asks each instance about itself: one that is cut from the platform does not
// know all instances of other domains.
func (w *world) confirmed(generation uint64) error {
	for _, i := range w.f.Instances {
		if got := w.generation(i); got < generation {
			return fmt.Errorf("%s has generation %d, want %d", i.ID, got, generation)
		}
	}
	return nil
}

// changeWithoutPlatform cuts one instance, then a whole domain.
func changeWithoutPlatform(w *world) {
	const limit = 5 * time.Second // I8
	target := w.f.Endpoints[0].ID
	for n, cut := range [][]*fleet.Instance{w.in(domainA)[:1], w.in(domainA)} {
		w.platformFaults(map[string]any{"cut_clients": ids(cut)})
		time.Sleep(time.Second)
		before := w.generation(w.in(domainB)[0])
		if out, err := w.f.CtlAt(w.ctx, w.in(domainB), []string{"retire", "restore"}[n], target); err != nil {
			w.t.Fatalf("change: %v: %s", err, out)
		}
		w.eventually("I8: the change is in force everywhere", limit, func() error { return w.confirmed(before + 1) })
	}
	w.platformFaults(map[string]any{})
}

func freshInstance(w *world) {
	r := w.roles(domainA)
	generation := w.generation(r.owner)
	if req := w.newRequest(stream, r.owner, "rights on the budget", 20); w.send(req, r.owner) != answered {
		w.t.Errorf("not served before the outage: %s", req)
	}
	r.other.Kill()
	time.Sleep(4 * time.Second) // its peers count it as gone
	w.stopPlatform()
	w.start(r.other)
	if err := w.f.WaitReady(w.ctx, r.other); err != nil {
		w.t.Errorf("I8: %v", err)
	}
	if got := w.generation(r.other); got != generation {
		w.t.Errorf("I8: the fresh instance has generation %d, want %d", got, generation)
	}
	if req := w.newRequest(stream, r.other, "during the outage", 20); w.send(req, r.other) != answered {
		w.t.Errorf("a fresh instance does not serve during the outage: %s", req)
	}
	w.startPlatform()
}

// firstDraw guards against telling a caller that its budget is exhausted when
// only the platform store, which holds the budget, is out of reach.
func firstDraw(w *world) {
	w.stopPlatform()
	at := w.in(domainA)
	var wg sync.WaitGroup
	for _, k := range []kind{stream, booking, lookup} {
		r := w.newRequest(k, at[0], "during the outage", 20)
		wg.Go(func() { w.send(r, at...) })
	}
	time.Sleep(pauseTime)
	w.startPlatform()
	wg.Wait()
}
