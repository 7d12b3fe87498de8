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
	_ = flag.Set("rapid.seed", "46") // the same cases in every run, unless the command line says otherwise
	os.Exit(m.Run())
}

// Guards against configurations that revert, against two winners of one
// generation, and against a command applied twice or after it was refused, with
// stale reads, lost, dropped and late writes, outages and gossip in any order.
func TestGenerationsNeverRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, runMachine) // without the method Deadline, which a bubble refuses
	})
}

func runMachine(t *rapid.T) {
	m := &machine{store: newFakeStore(), winner: map[uint64]*Document{}, refused: map[string]bool{}, open: map[string]bool{}}
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
			m.store.faults = append(m.store.faults, rapid.SampledFrom([]writeFault{loseAnswer, dropWrite, delayWrite}).Draw(t, "fault"))
		},
		"deliver": func(*rapid.T) { m.store.deliver() },
		"outage":  func(*rapid.T) { m.store.down = !m.store.down },
		"stale":   func(t *rapid.T) { m.store.stale = rapid.IntRange(0, 3).Draw(t, "writes behind") },
	})
}

type machine struct {
	store    *fakeStore
	replicas []*Replica
	highest  []uint64
	winner   map[uint64]*Document // by generation
	commands int
	refused  map[string]bool // commands that were reported as without effect
	open     map[string]bool // commands that took effect or may still do so
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
	_, err := r.Change(context.Background(), changeBy(command, expect, func(d *Document) error {
		if d.Shards == 0 {
			*d = *validDocument()
		}
		d.Drained = append(d.Drained, command)
		return nil
	}))
	m.open[command] = m.open[command] || err == nil || failure.Is(err, failure.Uncertain)
	m.refused[command] = err != nil && !m.open[command]
}

func (m *machine) check(t *rapid.T) {
	for _, rec := range m.store.history[1:] {
		d, err := Decode(rec.Value)
		if err != nil {
			t.Fatal(err)
		}
		m.accepted(t, d)
	}
	for i, r := range m.replicas {
		if r.Generation() < m.highest[i] {
			t.Fatalf("replica %d went back from generation %d to %d", i, m.highest[i], r.Generation())
		}
		m.highest[i] = r.Generation()
		if d := r.Current(); d != nil {
			m.accepted(t, d.Clone())
		}
	}
}

func (m *machine) accepted(t *rapid.T, d *Document) {
	if w, ok := m.winner[d.Generation]; ok && !reflect.DeepEqual(w, d) {
		t.Fatalf("generation %d has two winners: %v and %v", d.Generation, w.Applied, d.Applied)
	}
	m.winner[d.Generation] = d
	seen := map[string]bool{}
	for _, c := range d.Applied {
		if seen[c.Command] || m.refused[c.Command] {
			t.Fatalf("command %s was applied twice or after it was refused", c.Command)
		}
		seen[c.Command] = true
	}
}
