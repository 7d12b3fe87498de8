package node_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// Guards against an instance that sends to a domain out of use because it is cut off from the store, or new.
func TestDomainsOutOfUse(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.tracksDomains = true
	arrivals := map[string]*atomic.Int64{"z": {}, "z2": {}}
	count := func(domain string) machines.Script {
		return func(q *http.Request, b []byte, c net.Conn) bool {
			arrivals[domain].Add(1)
			return machines.Answer(200, "whole")(q, b, c)
		}
	}
	f.runner.SetScript(count("z"))
	second, err := machines.StartRunner("r2", count("z2"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	f.store.PutRunner(second, "z2")
	sendsTo := func(domain string, members ...*member) bool {
		for _, m := range members {
			before := arrivals[domain].Load()
			for range 10 {
				if status, _ := m.send("/look/1", ""); status != 200 {
					return false
				}
			}
			if arrivals[domain].Load()-before != 10 {
				return false
			}
		}
		return true
	}
	a, b := f.start("a"), f.start("b")
	f.waitUntil("both are listed", func() bool { return f.store.Count("instances/") == 2 })
	time.Sleep(1500 * time.Millisecond) // until both instances have read the list
	b.store.cut.Store(true)
	f.store.Put("op/evacuate/z", "{}")
	f.waitUntil("z is out of use", func() bool { return sendsTo("z2", a, b) })
	before := arrivals["z"].Load()
	c := f.start("c")
	if !sendsTo("z2", a, b, c) || arrivals["z"].Load() != before {
		t.Error("a new instance sends to a domain out of use")
	}
	f.store.Put("op/evacuate/z2", "{}")
	f.waitUntil("all are out of use", func() bool { status, _ := b.send("/look/1", ""); return status == 503 })
	f.store.Remove("op/evacuate/z")
	f.waitUntil("z is back in use", func() bool { return sendsTo("z", a, b, c) })
}
