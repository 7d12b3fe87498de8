package integration

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// fault is one kind of failure. apply runs at the step; heal, which may be nil,
// undoes it.
type fault struct {
	desc string
	// cuts is true when the fault itself may break requests of a stopping
	// instance, so that I7 does not apply.
	cuts        bool
	apply, heal func(w *world, r *roles)
}

func faults() []fault {
	return slices.Concat(
		[]fault{{desc: "none"}},
		instanceFaults(), storeFaults(), networkFaults(), endpointFaults(), otherFaults(), pairs(),
	)
}

func instanceFaults() []fault {
	return []fault{
		{"entry killed", false, func(_ *world, r *roles) { r.entry.kill() }, func(w *world, r *roles) { w.restart(r.entry) }},
		{"owner killed", false, func(_ *world, r *roles) { r.owner.kill() }, func(w *world, r *roles) { w.restart(r.owner) }},
		{"owner killed for good", false, func(_ *world, r *roles) { r.owner.kill() }, nil},
		{"remote entry killed", false, func(_ *world, r *roles) { r.remote.kill() }, func(w *world, r *roles) { w.restart(r.remote) }},
		{"backup paused", true, func(_ *world, r *roles) { r.entry.pause() }, func(_ *world, r *roles) { r.entry.resume() }},
		{"owner paused", true, func(_ *world, r *roles) { r.owner.pause() }, func(_ *world, r *roles) { r.owner.resume() }},
	}
}

// restart replaces an instance that was killed.
func (w *world) restart(n *node) { w.startNode(n.id.Instance, n.id.Domain) }

func storeFaults() []fault {
	return []fault{
		{"store down", false, func(w *world, _ *roles) { w.store.SetDown(true) }, func(w *world, _ *roles) { w.store.SetDown(false) }},
		{"store slow", false, func(w *world, _ *roles) { w.store.SetResponseDelay(1500 * time.Millisecond) }, func(w *world, _ *roles) { w.store.SetResponseDelay(0) }},
		{"store answers lost", false, func(w *world, _ *roles) { w.store.LoseAnswers(8) }, func(w *world, _ *roles) { w.store.LoseAnswers(0) }},
		{"store writes late", false, func(w *world, _ *roles) { w.store.DelaySwaps(true) },
			func(w *world, _ *roles) { w.store.DelaySwaps(false); w.store.ApplyDelayed() }},
		{"domain cut from store", false, func(w *world, r *roles) { w.cutStore(r) }, func(w *world, _ *roles) { w.healStore() }},
	}
}

func (w *world) cutStore(r *roles) {
	w.store.CutClient(r.entry.host())
	w.store.CutClient(r.owner.host())
}

// healStore restores the clients of all instances that were not killed.
func (w *world) healStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.all {
		if !n.dead {
			w.store.RestoreClient(n.host())
		}
	}
}

func networkFaults() []fault {
	return []fault{
		{"cut between domains", true, func(w *world, _ *roles) { w.cutDomains() }, func(w *world, _ *roles) { w.healDomains() }},
		{"peer connection silent", false, func(w *world, r *roles) { w.net.Silence(r.entry.id.Address, r.owner.id.Address) },
			func(w *world, r *roles) { w.net.Heal(r.entry.id.Address, r.owner.id.Address) }},
		{"peer messages late", false, func(w *world, _ *roles) { w.links(func(a, b string) { w.net.HoldNext(a, b, 4) }) },
			func(w *world, _ *roles) { w.links(w.net.Release) }},
		{"peer messages slow", false, func(w *world, _ *roles) { w.links(func(a, b string) { w.net.Delay(a, b, 700*time.Millisecond) }) },
			func(w *world, _ *roles) { w.links(func(a, b string) { w.net.Delay(a, b, 0) }) }},
		{"peer messages twice", false, func(w *world, _ *roles) { w.links(func(a, b string) { w.net.Duplicate(a, b, 30) }) }, nil},
		{"peer answers lost", false, func(w *world, _ *roles) { w.links(func(a, b string) { w.net.LoseAnswers(a, b, 6) }) }, nil},
	}
}

// links calls f for each direction between two instances.
func (w *world) links(f func(from, to string)) {
	for _, a := range seeds {
		for _, b := range seeds {
			if a != b {
				f(a, b)
			}
		}
	}
}

// across reports whether two hosts are in different domains. Callers reach both.
func (w *world) across(a, b string) bool {
	return w.domainOf(a) != "" && w.domainOf(b) != "" && w.domainOf(a) != w.domainOf(b)
}

// domainOf returns the domain of a host; names of hosts in A begin with "a1",
// "a2", "engine-a" or "app-a".
func (w *world) domainOf(host string) string {
	for prefix, domain := range map[string]string{
		"a1-": domainA, "a2-": domainA, "engine-a": domainA, "app-a": domainA,
		"b1-": domainB, "b2-": domainB, "engine-b": domainB, "app-b": domainB,
	} {
		if len(host) >= len(prefix) && host[:len(prefix)] == prefix {
			return domain
		}
	}
	return ""
}

func (w *world) cutDomains() {
	for _, a := range seeds[:2] {
		for _, b := range seeds[2:] {
			w.net.Cut(a, b)
		}
	}
	w.wire.silence(w.across)
	w.wire.sever(w.across)
}

func (w *world) healDomains() {
	for _, a := range seeds[:2] {
		for _, b := range seeds[2:] {
			w.net.Heal(a, b)
		}
	}
	w.wire.sever(func(string, string) bool { return false })
}

// sever drops what is sent on new connections between hosts that match.
func (w *wire) sever(match func(a, b string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.severed = match
}

func endpointFaults() []fault {
	set := func(f func(e *endpoint)) func(w *world, _ *roles) {
		return func(w *world, _ *roles) {
			for _, e := range w.endpoints {
				e.mu.Lock()
				f(e)
				e.mu.Unlock()
			}
		}
	}
	return []fault{
		{"endpoints of a domain killed", true, func(w *world, _ *roles) { w.endpoints[0].kill(); w.endpoints[2].kill() },
			func(w *world, _ *roles) { w.endpoints[0].start(); w.endpoints[2].start() }},
		{"endpoint connections silent", true, func(w *world, _ *roles) { w.wire.silence(w.toEndpoint) }, nil},
		{"endpoint connections cut", true, func(w *world, _ *roles) { w.wire.reset(w.toEndpoint) }, nil},
		{"events duplicated", false, set(func(e *endpoint) { e.duplicate = true }), set(func(e *endpoint) { e.duplicate = false })},
		{"events reordered", false, set(func(e *endpoint) { e.reorder = true }), set(func(e *endpoint) { e.reorder = false })},
	}
}

func (w *world) toEndpoint(_, to string) bool { return to[:3] == "eng" || to[:3] == "app" }

func otherFaults() []fault {
	return []fault{
		{"operators racing", false, func(w *world, _ *roles) { w.race() }, nil},
		{"callers gone", true, func(w *world, _ *roles) { w.callersLeave() }, nil},
		{"callers' connections silent", true, func(w *world, _ *roles) {
			w.wire.silence(func(from, _ string) bool { return from == "caller" })
		}, nil},
	}
}

// race sends pairs of changes and top-ups at two instances at once.
func (w *world) race() {
	for _, command := range []string{"race-same", "race-same", "race-1", "race-2"} {
		w.work.Go(func() { w.change(command, touch, "") })
		w.work.Go(func() { w.topUp(tightBudget, command, 100) })
		w.work.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, _ = w.nodes["b2"].replica.Change(ctx, config.ChangeRequest{Command: command, Operator: "other", Summary: "race", Mutate: touch}) // may lose
		})
	}
}

func (w *world) callersLeave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if c.open {
			c.cancel()
		}
	}
}

// pairs are two faults at once.
func pairs() []fault {
	down := func(w *world) { w.store.SetDown(true) }
	return []fault{
		{"owner killed and store answers lost", false, func(w *world, r *roles) { r.owner.kill(); w.store.LoseAnswers(8) },
			func(w *world, r *roles) { w.store.LoseAnswers(0); w.restart(r.owner) }},
		{"entry killed and domain cut", true, func(w *world, r *roles) { r.entry.kill(); w.cutDomains() },
			func(w *world, r *roles) { w.healDomains(); w.restart(r.entry) }},
		{"owner paused and store down", true, func(w *world, r *roles) { r.owner.pause(); down(w) },
			func(w *world, r *roles) { w.store.SetDown(false); r.owner.resume() }},
		{"endpoints silent and entry killed", true, func(w *world, r *roles) { w.wire.silence(w.toEndpoint); r.entry.kill() },
			func(w *world, r *roles) { w.restart(r.entry) }},
		{"top-up on one side of a cut", true, func(w *world, r *roles) {
			w.cutDomains()
			w.cutStore(r)
			w.deafen(never, r.entry, r.owner)
			w.work.Go(func() { w.topUp(tightBudget, "one side", 300) })
		}, func(w *world, r *roles) { w.healDomains(); w.healStore(); w.deafen(time.Now(), r.entry, r.owner) }},
		{"owner and backup killed", false, func(_ *world, r *roles) { r.owner.kill(); r.entry.kill() },
			func(w *world, r *roles) { w.restart(r.owner); w.restart(r.entry) }},
	}
}

// deafen marks instances that no document can reach until the given time.
func (w *world) deafen(until time.Time, nodes ...*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range nodes {
		n.deafUntil = until
	}
}
