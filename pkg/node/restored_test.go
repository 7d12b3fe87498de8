package node_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// sendUntilExhausted sends streams of 2000 prompt tokens until several in a row are refused
// by all instances, and returns the number of prompt tokens that ran.
func sendUntilExhausted(members ...*member) (tokens int) {
	for refused := 0; refused < 3; {
		refused++
		for _, m := range members {
			if status, _ := m.send("/chat/1", "2000,0"); status == 200 {
				tokens += 2000
				refused = 0
			}
		}
		if refused > 0 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	return tokens
}

// Guards against tokens that are granted twice because the store lost the first grant, and against lost rights.
func TestRestoredStoreKeepsBudget(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("an instance ends beside it: %t", killed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.runner.SetScript(machines.Stream(1, 0, true))
			a, b, c := f.start("a"), f.start("b"), f.start("c")
			f.waitUntil("all are listed", func() bool { return f.store.Count("instances/") == 3 })
			time.Sleep(time.Second)
			copied := f.store.Copy()
			spent := 0
			for range 15 {
				if status, _ := a.send("/chat/1", "2000,0"); status == 200 {
					spent += 2000
				}
			}
			others := []*member{a, b, c}
			if killed {
				a.stop()
				others = others[1:]
			}
			f.store.Restore(copied)
			again := f.store.Copy()
			spent += sendUntilExhausted(others[0])
			f.store.Restore(again)
			spent += sendUntilExhausted(others...)
			if spent > machines.Prepaid || spent < machines.Prepaid*9/10 {
				t.Errorf("%d tokens were spent, %d paid", spent, machines.Prepaid)
			}
		})
	}
}

// Guards against lists of endpoints that are ignored until the revisions of a restored store have caught up.
func TestRestoredStoreListsEndpoints(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.runner.SetScript(machines.Answer(200, "first"))
	second, err := machines.StartRunner("r2", machines.Answer(200, "second"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	m := f.start("a")
	copied := f.store.Copy()
	for range 50 {
		f.store.Put("unrelated", "x")
	}
	f.store.PutRunner(second, "z")
	f.waitUntil("the second endpoint is used", func() bool { _, body := m.send("/look/1", ""); return body == "second" })
	f.store.Restore(copied)
	f.waitUntil("the instance has noticed", func() bool { return f.store.Count("instances/") == 1 })
	time.Sleep(4 * time.Second)
	f.store.Remove(machines.ServersPrefix + "r1")
	time.Sleep(2 * time.Second)
	for range 5 {
		if _, body := m.send("/look/1", ""); body != "second" {
			t.Fatalf("got %q 2 s after the endpoint had left", body)
		}
	}
}

// Guards against instances that cannot call each other because the store lost their credential.
func TestRestoredStoreKeepsCredential(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	copied := f.store.Copy()
	f.start("a")
	f.start("b")
	const key = "peers/credential"
	before, _ := f.store.Get(key)
	f.store.Restore(copied)
	f.waitUntil("the credential is stored again", func() bool {
		after, ok := f.store.Get(key)
		return ok && bytes.Equal(before, after)
	})
}

// Guards against tokens that are granted twice because the store returned from a copy while no instance ran that remembers the first grant.
func TestRestoredStoreAfterLossOfAllKeepsBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.runner.SetScript(machines.Stream(1, 0, true))
	a := f.start("a")
	time.Sleep(time.Second)
	copied := f.store.Copy()
	spent := 0
	for range 15 {
		if status, _ := a.send("/chat/1", "2000,0"); status == 200 {
			spent += 2000
		}
	}
	a.stop()
	err := <-a.done
	a.done <- err // for the cleanup
	f.store.Restore(copied)
	spent += sendUntilExhausted(f.start("b"))
	if spent > machines.Prepaid {
		t.Errorf("%d tokens were spent, %d paid", spent, machines.Prepaid)
	}
}
