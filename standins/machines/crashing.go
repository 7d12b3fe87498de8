package machines

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// CrashingPart is the prompt part, and CrashingPath the part of a path, on which
// CrashingRunners crash.
const CrashingPart, CrashingPath = "bad0", "/crashing"

const (
	crashDelay   = 30 * time.Millisecond  // from the beginning of a run to the crash
	restartDelay = 400 * time.Millisecond // until the runner is back
)

// CrashingRunners are runners that crash when they begin to answer a request with
// CrashingPart or CrashingPath, and start again with another ID and address. Other requests are handled
// by a script.
type CrashingRunners struct {
	store    *Store
	script   Script
	restarts sync.WaitGroup

	mu       sync.Mutex
	started  int
	runners  map[string]*Runner // by address
	ids      map[string]*Runner // all runners so far, by their present and former IDs
	versions map[string]string  // of all runners so far, by address
	crashes  []time.Time
	arrivals []time.Time
	closed   bool
}

// NewCrashingRunners returns an empty set whose runners register in the store.
func NewCrashingRunners(store *Store, script Script) *CrashingRunners {
	return &CrashingRunners{store: store, script: script, runners: map[string]*Runner{}, ids: map[string]*Runner{}, versions: map[string]string{}}
}

// Start starts a runner in a zone whose registration names no version.
func (c *CrashingRunners) Start(zone string) error { return c.StartVersion(zone, "") }

// StartVersion starts a runner in a zone, of a version of the software.
func (c *CrashingRunners) StartVersion(zone, version string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	r, err := StartRunner(fmt.Sprint("r", c.started), func(q *http.Request, body []byte, conn net.Conn) bool {
		if !IsCrashing(q) || !c.IsAddressed(q, conn) {
			return c.script(q, body, conn)
		}
		c.crash(conn.LocalAddr().String(), zone, version)
		_, _ = io.WriteString(conn, ResponseHead(q, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		_, _ = conn.Read(make([]byte, 1)) // until the crash closes the connection
		return false
	})
	if err != nil {
		return err
	}
	c.started++
	r.Version = version
	c.runners[r.Address()] = r
	c.ids[r.ID] = r
	c.versions[r.Address()] = version
	c.store.PutRunner(r, zone)
	return nil
}

// crash has the runner at an address crash soon, unless it does already.
func (c *CrashingRunners) crash(address, zone, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
	runner := c.runners[address]
	if runner == nil {
		return
	}
	delete(c.runners, address)
	c.restarts.Go(func() {
		time.Sleep(crashDelay)
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		runner.Close()
		c.store.Remove(ServersPrefix + runner.ID)
		time.Sleep(restartDelay)
		_ = c.StartVersion(zone, version) // without it one runner less serves
	})
}

// IDs returns the IDs of the running runners in the order of their addresses.
func (c *CrashingRunners) IDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, address := range slices.Sorted(maps.Keys(c.runners)) {
		ids = append(ids, c.runners[address].ID)
	}
	return ids
}

// IsAddressed reports whether a request that arrived on a connection names the runner there,
// or none.
func (c *CrashingRunners) IsAddressed(q *http.Request, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	runner, expected := c.runners[conn.LocalAddr().String()], q.Header.Get(HeaderExpectedInstance)
	return runner == nil || expected == "" || expected == runner.ID
}

// Reregister registers a runner under a new ID at its address. The former registration stays
// in the store until the caller removes it.
func (c *CrashingRunners) Reregister(id, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if runner := c.find(id); runner != nil {
		runner.ID = fmt.Sprint("r", c.started)
		c.started++
		c.ids[runner.ID] = runner
		c.store.PutRunner(runner, zone)
	}
}

// find returns the running runner that has or had an ID, or nil. mu must be held.
func (c *CrashingRunners) find(id string) *Runner {
	if runner := c.ids[id]; runner != nil && c.runners[runner.Address()] == runner {
		return runner
	}
	return nil
}

// Version returns the version of the runner to which an accepted connection belongs.
func (c *CrashingRunners) Version(conn net.Conn) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[conn.LocalAddr().String()]
}

// Replace ends a runner and starts another one of the same version in a zone, unless the
// runner has crashed.
func (c *CrashingRunners) Replace(id, zone string) error {
	runner := c.End(id)
	if runner == nil {
		return nil
	}
	return c.StartVersion(zone, runner.Version)
}

// End ends a runner and returns it. It returns nil if the runner has crashed.
func (c *CrashingRunners) End(id string) *Runner {
	c.mu.Lock()
	runner := c.find(id)
	if runner == nil {
		c.mu.Unlock()
		return nil
	}
	delete(c.runners, runner.Address())
	c.mu.Unlock()
	c.store.Remove(ServersPrefix + runner.ID)
	runner.Close()
	return runner
}

// Close closes all runners.
func (c *CrashingRunners) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.restarts.Wait()
	for _, r := range c.runners {
		r.Close()
	}
}

// Crashes returns the times of the crashes.
func (c *CrashingRunners) Crashes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.crashes...)
}

// ArrivalsAfter returns the number of requests with CrashingPart or CrashingPath that reached runners after
// t.
func (c *CrashingRunners) ArrivalsAfter(t time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.arrivals {
		if at.After(t) {
			n++
		}
	}
	return n
}

// IsCrashing reports whether a request has CrashingPart in its prompt or CrashingPath in its path.
func IsCrashing(q *http.Request) bool {
	return strings.Contains(q.Header.Get(HeaderPrompt), CrashingPart) || strings.Contains(q.URL.Path, CrashingPath)
}
