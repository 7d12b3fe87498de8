package config

import (
	"context"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "46") // the same cases in every run, unless a flag overrides the seed
	os.Exit(m.Run())
}

// Guards against replicas that return to a lower generation, against two documents
// of one generation, and against a command that is applied twice or after it was
// refused. Stale reads, lost answers, dropped and late writes, outages and documents
// from peers occur in random order.
func TestGenerationsNeverRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, runMachine) // hides the method Deadline, which panics in a synctest bubble
	})
}

func runMachine(t *rapid.T) {
	m := &machine{store: newFakeStore(), accepted: map[uint64]*Document{}, rejected: map[string]bool{}, mayTakeEffect: map[string]bool{}}
	for range 3 {
		m.replicas = append(m.replicas, NewReplica(m.store, ReplicaOptions{}, nil))
	}
	m.highest = make([]uint64, len(m.replicas))
	pick := func(t *rapid.T) *Replica { return m.replicas[rapid.IntRange(0, 2).Draw(t, "replica")] }
	t.Repeat(map[string]func(*rapid.T){
		"":       m.check,
		"change": func(t *rapid.T) { m.change(t, pick(t)) },
		"repeat": func(t *rapid.T) { m.repeat(t, pick(t)) },
		"follow": func(t *rapid.T) {
			r := pick(t)
			if rec, err := r.get(context.Background()); err == nil {
				r.observe(context.Background(), rec)
			}
		},
		"gossip": func(t *rapid.T) { pick(t).Offer(pick(t).Current()) },
		"fault": func(t *rapid.T) {
			m.store.writeFaults = append(m.store.writeFaults, rapid.SampledFrom([]writeFault{loseAnswer, dropWrite, delayWrite}).Draw(t, "fault"))
		},
		"deliver": func(*rapid.T) { m.store.applyDelayed() },
		"outage":  func(*rapid.T) { m.store.down = !m.store.down },
		"stale":   func(t *rapid.T) { m.store.staleBy = rapid.IntRange(0, 3).Draw(t, "writes behind") },
	})
}

// machine drives three replicas of one store and checks the documents that they
// accept.
type machine struct {
	store         *fakeStore
	replicas      []*Replica
	highest       []uint64             // generation seen at each replica
	accepted      map[uint64]*Document // by generation
	commands      int
	rejected      map[string]bool // commands that were reported to have no effect
	mayTakeEffect map[string]bool // commands that took effect or may still do so
}

func (m *machine) change(t *rapid.T, r *Replica) {
	m.commands++
	m.send(r, fmt.Sprintf("c%d", m.commands), uint64(rapid.IntRange(0, 4).Draw(t, "expect")))
}

func (m *machine) repeat(t *rapid.T, r *Replica) {
	if m.commands > 0 {
		m.send(r, fmt.Sprintf("c%d", rapid.IntRange(1, m.commands).Draw(t, "command")), 0)
	}
}

func (m *machine) send(r *Replica, command string, expect uint64) {
	_, err := r.Change(context.Background(), newChange(command, expect, func(d *Document) error {
		if d.Shards == 0 {
			*d = *validDocument()
		}
		d.Drained = append(d.Drained, command)
		return nil
	}))
	m.mayTakeEffect[command] = m.mayTakeEffect[command] || err == nil || failure.Is(err, failure.Uncertain)
	m.rejected[command] = err != nil && !m.mayTakeEffect[command]
}

func (m *machine) check(t *rapid.T) {
	for _, rec := range m.store.history[1:] {
		d, err := Decode(rec.Value)
		if err != nil {
			t.Fatal(err)
		}
		m.checkAccepted(t, d)
	}
	for i, r := range m.replicas {
		if r.Generation() < m.highest[i] {
			t.Fatalf("replica %d returned from generation %d to %d", i, m.highest[i], r.Generation())
		}
		m.highest[i] = r.Generation()
		if d := r.Current(); d != nil {
			m.checkAccepted(t, d.Clone())
		}
	}
}

func (m *machine) checkAccepted(t *rapid.T, d *Document) {
	if other, ok := m.accepted[d.Generation]; ok && !reflect.DeepEqual(other, d) {
		t.Fatalf("generation %d has two documents: %v and %v", d.Generation, other.Applied, d.Applied)
	}
	m.accepted[d.Generation] = d
	seen := map[string]bool{}
	for _, c := range d.Applied {
		if seen[c.Command] || m.rejected[c.Command] {
			t.Fatalf("command %s was applied twice or after it was refused", c.Command)
		}
		seen[c.Command] = true
	}
}
