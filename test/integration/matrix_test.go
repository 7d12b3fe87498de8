package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	faultTime = 15 * time.Second // longer than the silence limit and the wait of a takeover
	quietTime = 30 * time.Second // after the last wave: takeovers, settlements, seals
)

// roles are the instances of domain A by what they did at the time of boot, and
// one of domain B. Callers send to entry first.
type roles struct{ entry, owner, remote, remote2 *node }

func (w *world) roles() roles {
	s := w.shardMap(domainA).Shards[0]
	return roles{w.nodes[s.Backup.Instance], w.nodes[s.Owner.Instance], w.nodes["b1"], w.nodes["b2"]}
}

var steps = []string{"admit", "reserve", "record", "dispatch", "stream", "settle", "answer", "top up", "apply", "drain"}

// TestMatrix injects each fault at each step of the path of requests and of
// operators' commands, and guards against a violation of any invariant. Every
// cell prints one line that `make faults` counts.
func TestMatrix(t *testing.T) {
	for _, f := range faults() {
		for _, step := range steps {
			t.Run(f.desc+"/"+step, func(t *testing.T) {
				skipKnownRed(t)
				t.Parallel()
				runCell(t, f, step)
			})
		}
	}
}

// TestSilentPairSparesStore guards against two instances that hear the store but
// not each other and take the shard from each other as fast as the store answers.
func TestSilentPairSparesStore(t *testing.T) {
	runWorld(t, func(w *world) {
		w.boot()
		r := w.roles()
		before := w.shardMap(domainA).Shards[0].Epoch
		w.store.ResetCalls()
		w.net.Silence(r.entry.id.Address, r.owner.id.Address)
		time.Sleep(time.Minute)
		calls, epochs := w.store.AllCalls(), w.shardMap(domainA).Shards[0].Epoch-before
		if epochs > 60 || calls[kvstore.CallSwap] > 120 || calls[kvstore.CallWatch] > 240 {
			t.Errorf("%d epochs and the store calls %v in a minute", epochs, calls)
		}
	})
}

func runCell(t *testing.T, f fault, step string) {
	runWorld(t, func(w *world) {
		w.boot()
		r := w.roles()
		w.arm(step, f, &r)
		w.drive(&r, f)
		if w.step != "" {
			t.Errorf("the cell did not reach its step")
		}
		w.checkSpend(w.bills()) // the payments of serveAgain would hide an overspend
		w.serveAgain()
		w.check(!f.cuts)
		w.report(f)
	})
}

// arm lets the fault strike at a step, and end some time later.
func (w *world) arm(step string, f fault, r *roles) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step = step
	w.strike = func() {
		if f.apply != nil {
			f.apply(w, r)
		}
		w.work.Go(func() {
			time.Sleep(faultTime)
			if f.heal != nil {
				f.heal(w, r)
			}
		})
	}
}

// drive sends requests while operators pay, change the configuration, drain an
// endpoint and stop an instance.
func (w *world) drive(r *roles, f fault) {
	at := func(d time.Duration, fn func()) { w.work.Go(func() { time.Sleep(d); fn() }) }
	at(0, func() { w.wave("w0", r.entry, r.owner, r.remote) })
	at(time.Second, func() { w.topUp(ampleBudget, "half way", 1000) })
	at(time.Second, func() { w.topUp(tightBudget, "half way", 200) })
	at(2*time.Second, func() { w.change("touch", touch, "") })
	at(2500*time.Millisecond, func() { w.wave("w1", r.owner, r.entry, r.remote2); w.spree("w1", w.live()...) })
	at(6*time.Second, func() { w.wave("w2", r.remote, r.entry, r.owner) })
	at(20*time.Second, func() { w.wave("w3", r.entry, r.remote, r.owner); w.spree("w3", w.live()...) })
	at(40*time.Second, func() {
		drained := w.endpoints[0].id
		w.change("retire", func(d *config.Document) error { d.Drained = []string{drained}; return nil }, drained)
	})
	at(40900*time.Millisecond, func() { w.wave("w4", w.nodes["b2"], r.remote, w.nodes[r.entry.id.Instance]) })
	at(41*time.Second, func() { w.stopOne(f) })
	at(48*time.Second, func() { w.wave("w5", r.remote, w.nodes[r.entry.id.Instance], w.nodes[r.owner.id.Instance]) })
	w.work.Wait()
	time.Sleep(quietTime)
}

func touch(d *config.Document) error {
	d.Services[0].Concurrency++
	return nil
}

// stopOne stops instance b2 gracefully.
func (w *world) stopOne(f fault) {
	if err := w.nodes["b2"].stop(); err != nil && !f.cuts {
		w.t.Logf("graceful stop: %v", err)
	}
}

// serveAgain verifies that every instance that is left answers.
func (w *world) serveAgain() {
	w.topUp(ampleBudget, "after", 10_000)
	w.topUp(tightBudget, "after", 10_000)
	for i, n := range w.live() {
		for _, budget := range []string{ampleBudget, tightBudget} {
			tag := fmt.Sprintf("after-%d-%s", i, budget)
			if budget == tightBudget {
				tag += "-spree"
			}
			for _, c := range []*call{
				w.send(n, booking, tag+"-book", w.issue(n, budget, tag), budget),
				w.send(n, booking, tag+"-own", "key-"+tag, budget),
				w.send(n, stream, tag+"-stream", "", budget),
				w.send(n, lookup, tag+"-lookup", "", budget),
			} {
				if !c.clean && !w.unknownKey(c) {
					w.t.Errorf("after the fault %s does not serve %s: status %d, %s, %s, %v", n.host(), c.tag, c.status, c.errorKind, c.outcome, c.broken)
				}
			}
		}
		w.checkStates(n)
	}
	time.Sleep(15 * time.Second) // three intervals of sealing
}

// unknownKey reports whether a caller's own key has an unknown outcome because
// its shard lost an epoch (design, section 4.3).
func (w *world) unknownKey(c *call) bool {
	id, err := ledger.ParseRequestID(c.id)
	return err == nil && !ledger.IsIssuedID(c.id) && w.lost(id) && c.errorKind == string(failure.OutcomeUnknown)
}

// report logs what the cell checked and the requests that were refused although
// their budget had room.
func (w *world) report(f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	refused, clean := map[string]int{}, 0
	for _, c := range w.calls {
		if c.clean {
			clean++
		}
		if c.notRun() && c.budget == ampleBudget {
			refused[c.errorKind]++
		}
	}
	counts := ""
	for _, kind := range slices.Sorted(maps.Keys(refused)) {
		counts += fmt.Sprintf(" %s=%d", kind, refused[kind])
	}
	w.t.Logf("calls: %d, answered: %d, false refusals:%s", len(w.calls), clean, counts)
	checked := "I1,I2,I3,I4,I5,I6,I7,I8"
	if f.cuts {
		checked = "I1,I2,I3,I4,I5,I6,I8"
	}
	w.t.Logf("case: %s %s", checked, w.t.Name())
}

// checkStates verifies I4 over the states that the owners report.
func (w *world) checkStates(n *node) {
	ran := map[string]bool{}
	for _, r := range w.runs() {
		ran[r.id] = true
	}
	w.mu.Lock()
	ids := map[string]bool{}
	for _, c := range w.calls {
		if c.id != "" && c.key != "" {
			ids[c.id] = true
		}
	}
	w.mu.Unlock()
	for id := range ids {
		ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
		r, err := http.NewRequest(http.MethodGet, "/v1/requests/"+id, nil)
		if err != nil {
			w.t.Fatal(err)
		}
		_, body, err := w.exchange(ctx, n, r)
		cancel()
		var status struct{ State string }
		if err != nil || json.Unmarshal(body, &status) != nil {
			w.t.Errorf("the state of %s could not be read: %v %s", id, err, body)
		}
		if status.State == "not-run" && ran[id] {
			w.t.Errorf("I4: %s ran, but its state is not-run", id)
		}
	}
}
