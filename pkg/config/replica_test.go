package config

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Guards against an invalid document that is accepted, and against an error that
// does not list every fault.
func TestValidate(t *testing.T) {
	cases := []struct {
		desc   string
		mutate func(*Document)
		want   []string // texts that the error must contain; nil for no error
	}{
		{"valid", func(*Document) {}, nil},
		{"several faults at once", func(d *Document) {
			d.Shards, d.Domains[1] = 0, "ya.ba"
			d.Services[0].Endpoints[0].Address = "10.0.0.1"
			d.Workspaces[0].KeyHash = "secret"
		}, []string{"4 faults", "deployment shards: 0", `"ya.ba"`, `endpoint llm-1 address: "10.0.0.1"`, "key-sha256"}},
		{"repeated names", func(d *Document) {
			d.Workspaces = append(d.Workspaces, d.Workspaces[0])
			d.Services[1].Endpoints = d.Services[0].Endpoints
		}, []string{"workspace clinic: it is listed twice", "the same key", "endpoint llm-1: it is listed twice"}},
		{"dangling references", func(d *Document) {
			d.Services[0].Endpoints[0].Domain = "lekki"
			d.Engines[0].Endpoint, d.Objectives[0].Service = "llm-9", "none"
			d.Workspaces[0].DefaultBudget = "no/such"
		}, []string{`"lekki"`, "engine llm-9", "objective none", `"no/such"`}},
		{"limits out of range", func(d *Document) {
			d.Services[0].FirstByteTimeout, d.Services[1].Concurrency = time.Hour, 0
			d.Services[1].Routes[0].Price, d.Objectives[0].Target = -1, 1
		}, []string{"first-byte", "concurrency", "price: -1", "target"}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			d := validDocument()
			c.mutate(d)
			err := Validate(d)
			if (err == nil) != (c.want == nil) {
				t.Fatalf("Validate: %v", err)
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q is missing in: %v", w, err)
				}
			}
		})
	}
}

// Guards against decoding a value of another release, and against encoding a value
// that the store would refuse.
func TestCodecRefuses(t *testing.T) {
	d := validDocument()
	d.Format = 2
	data, _ := Encode(d)
	if _, err := Decode(data); !failure.Is(err, failure.Format) {
		t.Errorf("format 2: %v", err)
	}
	if _, err := Decode([]byte("junk")); !failure.Is(err, failure.Format) {
		t.Errorf("junk: %v", err)
	}
	d.Domains[0] = strings.Repeat("x", 1<<20)
	if _, err := Encode(d); !failure.Is(err, failure.Invalid) {
		t.Errorf("1 MB: %v", err)
	}
}

// Guards against changes that are lost, applied twice or overwritten without an
// error.
func TestChange(t *testing.T) {
	cases := []struct {
		desc           string
		faults         []writeFault
		down           bool
		req            ChangeRequest
		wantKind       failure.Kind
		wantText       string
		wantGeneration uint64
	}{
		{desc: "accepted", req: newChange("c2", 1, drain("llm-1")), wantGeneration: 2},
		{desc: "any generation", req: newChange("c2", 0, drain("llm-1")), wantGeneration: 2},
		{desc: "repeat of an applied command", req: newChange("c1", 7, drain("llm-1")), wantGeneration: 1},
		{desc: "answer lost", faults: []writeFault{loseAnswer}, req: newChange("c2", 1, drain("llm-1")), wantGeneration: 2},
		{desc: "write lost", faults: []writeFault{dropWrite}, req: newChange("c2", 1, drain("llm-1")), wantGeneration: 2},
		{desc: "no write gets through", faults: []writeFault{dropWrite, dropWrite, dropWrite, dropWrite, dropWrite},
			req: newChange("c2", 1, drain("llm-1")), wantKind: failure.Uncertain, wantText: "same command id", wantGeneration: 1},
		{desc: "other generation", req: newChange("c2", 9, drain("llm-1")), wantKind: failure.Conflict,
			wantText: "generation 1, changed last by ada (test, command c1); generation 9 was expected", wantGeneration: 1},
		{desc: "store down", down: true, req: newChange("c2", 0, drain("llm-1")), wantKind: failure.Unavailable, wantGeneration: 1},
		{desc: "invalid result", req: newChange("c2", 0, func(d *Document) error { d.Domains = nil; return nil }), wantKind: failure.Invalid, wantGeneration: 1},
		{desc: "other number of shards", req: newChange("c2", 0, func(d *Document) error { d.Shards = 9; return nil }), wantKind: failure.Invalid, wantText: "8", wantGeneration: 1},
		{desc: "no command id", req: newChange("", 0, setValid), wantKind: failure.Invalid, wantGeneration: 1},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				r := NewReplica(store, ReplicaOptions{}, nil)
				if _, err := r.Change(t.Context(), newChange("c1", 0, setValid)); err != nil {
					t.Fatal(err)
				}
				store.writeFaults, store.down = c.faults, c.down
				_, err := r.Change(t.Context(), c.req)
				if failure.KindOf(err) != c.wantKind || (err != nil && !strings.Contains(err.Error(), c.wantText)) {
					t.Errorf("Change: %v", err)
				}
				if r.Generation() != c.wantGeneration {
					t.Errorf("generation %d, want %d", r.Generation(), c.wantGeneration)
				}
			})
		})
	}
}

// startReplica runs r until the end of the test.
func startReplica(t *testing.T, r *Replica) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against two concurrent changes that both succeed on one generation. The
// conflict errors must name the new generation.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		first := NewReplica(store, ReplicaOptions{}, nil)
		if _, err := first.Change(t.Context(), newChange("c1", 0, setValid)); err != nil {
			t.Fatal(err)
		}
		const operators = 8
		results := make(chan error, operators)
		for i := range operators {
			go func() {
				_, err := NewReplica(store, ReplicaOptions{}, nil).Change(t.Context(), newChange("race-"+string(rune('a'+i)), 1, drain("llm-1")))
				results <- err
			}()
		}
		accepted := 0
		for range operators {
			switch err := <-results; failure.KindOf(err) {
			case "":
				accepted++
			case failure.Conflict:
				if !strings.Contains(err.Error(), "generation 2") {
					t.Errorf("conflict does not name the current generation: %v", err)
				}
			default:
				t.Error(err)
			}
		}
		if accepted != 1 {
			t.Errorf("%d changes were accepted, want 1", accepted)
		}
	})
}

// Guards against a replica that returns to a lower generation when the store lost
// a change, and against a store that keeps the older document.
func TestOlderValueIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		replicas := []*Replica{NewReplica(store, ReplicaOptions{}, nil), NewReplica(store, ReplicaOptions{}, nil)}
		for i, command := range []string{"c1", "c2"} {
			mutate := []func(*Document) error{setValid, drain("llm-1")}[i]
			if _, err := replicas[0].Change(t.Context(), newChange(command, 0, mutate)); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range replicas {
			startReplica(t, r)
		}
		synctest.Wait()
		store.mu.Lock()
		store.put(store.history[1].Value) // generation 1
		writes := len(store.history)
		store.mu.Unlock()
		time.Sleep(time.Minute)
		synctest.Wait()
		for i, r := range replicas {
			if r.Generation() != 2 {
				t.Errorf("replica %d is at generation %d, want 2", i, r.Generation())
			}
		}
		stored, err := Decode(store.latest().Value)
		if err != nil || stored.Generation != 2 {
			t.Errorf("store: %+v, %v", stored, err)
		}
		if n := len(store.history) - writes; n != 1 {
			t.Errorf("%d writes to republish, want 1", n)
		}
	})
}

// Guards against a second document of a generation, which a change creates if it
// builds on an older stored document or ignores the generation that a peer
// announced.
func TestChangeBuildsOnNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		source := NewReplica(store, ReplicaOptions{}, nil)
		for i, command := range []string{"c1", "c2"} {
			if _, err := source.Change(t.Context(), newChange(command, 0, []func(*Document) error{setValid, drain("llm-1")}[i])); err != nil {
				t.Fatal(err)
			}
		}
		store.put(store.history[1].Value) // generation 1 again
		behind := NewReplica(store, ReplicaOptions{Peers: fakePeers{}}, nil)
		behind.HandleDocumentAnnouncement(2, "10.0.0.8:1") // no peer has this address
		if _, err := behind.Change(t.Context(), newChange("c3", 0, drain("llm-2"))); failure.KindOf(err) != failure.Unavailable {
			t.Errorf("change without the announced generation: %v, want kind unavailable", err)
		}
		d, err := source.Change(t.Context(), newChange("c4", 0, drain("llm-2")))
		if err != nil || d.Generation != 3 {
			t.Errorf("change on an older value: %+v, %v; want generation 3", d, err)
		}
	})
}

// Guards against an instance that waits for a store that does not answer although a
// peer has the configuration, and against one that does not follow the store again
// after an outage.
func TestSpreadFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		source := NewReplica(store, ReplicaOptions{}, nil)
		if _, err := source.Change(t.Context(), newChange("c1", 0, setValid)); err != nil {
			t.Fatal(err)
		}
		store.hang = true
		r := NewReplica(store, ReplicaOptions{Peers: fakePeers{"10.0.0.9:1": source}}, nil)
		var seen []uint64
		r.Subscribe(func(d *Document) { seen = append(seen, d.Generation) })
		startReplica(t, r)
		r.HandleDocumentAnnouncement(1, "10.0.0.8:1") // no peer has this address
		synctest.Wait()
		r.HandleDocumentAnnouncement(1, "10.0.0.9:1")
		synctest.Wait()
		if r.Generation() != 1 {
			t.Fatal("the configuration of the peer was not adopted")
		}
		store.mu.Lock()
		store.hang = false
		store.mu.Unlock()
		if _, err := source.Change(t.Context(), newChange("c2", 1, drain("llm-1"))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(DefaultWatchTimeout + 2*DefaultMaxRetryDelay)
		synctest.Wait()
		if len(seen) != 2 || seen[0] != 1 || seen[1] != 2 {
			t.Errorf("subscriber saw %v, want [1 2]", seen)
		}
	})
}

// Guards against adopting a document of a peer that is not newer, not valid or not
// compatible.
func TestOffer(t *testing.T) {
	cases := []struct {
		desc   string
		mutate func(*Document)
		want   bool
	}{
		{"newer", func(d *Document) { d.Generation = 3 }, true},
		{"equal", func(*Document) {}, false},
		{"older", func(d *Document) { d.Generation = 1 }, false},
		{"other format", func(d *Document) { d.Generation, d.Format = 3, 2 }, false},
		{"not valid", func(d *Document) { d.Generation, d.Domains = 3, nil }, false},
		{"other number of shards", func(d *Document) { d.Generation, d.Shards = 3, 9 }, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			r := NewReplica(newFakeStore(), ReplicaOptions{}, nil)
			current := validDocument()
			current.Generation = 2
			r.Offer(current)
			d := current.Clone()
			c.mutate(d)
			if got := r.Offer(d); got != c.want {
				t.Errorf("Offer = %v, want %v", got, c.want)
			}
		})
	}
}
