package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// contactWindow is how long after the fifth crash requests with the part may reach
	// runners, and maxLateArrivals how many may later.
	contactWindow    = 3 * time.Second
	maxLateArrivals  = 3
	crashesToNotice  = 5
	crashDelay       = 30 * time.Millisecond  // from the beginning of a run to the crash
	restartDelay     = 400 * time.Millisecond // until the next incarnation of the runner
	crashingPart     = "bad0"
	soundPartsNumber = 4
)

// crashingRunners are runners that crash when they run a request with crashingPart. Each
// starts again with another ID and address.
type crashingRunners struct {
	f *fleet

	mu       sync.Mutex
	started  int
	running  []*machines.Runner
	crashes  []time.Time
	arrivals []time.Time // of requests with crashingPart
	closed   bool
	restarts sync.WaitGroup
}

func startCrashingRunners(f *fleet, count int) *crashingRunners {
	c := &crashingRunners{f: f}
	f.store.Remove(machines.ServersPrefix + f.runner.ID)
	for range count {
		c.start()
	}
	f.t.Cleanup(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.restarts.Wait()
		for _, r := range c.running {
			r.Close()
		}
	})
	return c
}

func (c *crashingRunners) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.started++
	var r *machines.Runner
	var crashed sync.Once
	r, err := machines.StartRunner("r"+strconv.Itoa(c.started), func(q *http.Request, _ []byte, conn net.Conn) bool {
		if isCrashing(q) {
			c.mu.Lock()
			c.arrivals = append(c.arrivals, time.Now())
			c.mu.Unlock()
			_, _ = io.WriteString(conn, streamHead(q))
			time.Sleep(crashDelay)
			crashed.Do(func() { c.restarts.Go(func() { c.crash(r) }) })
			<-time.After(time.Second) // the crash closes the connection
			return false
		}
		_, err := io.WriteString(conn, streamHead(q))
		for i := 1; i <= 3 && err == nil; i++ {
			time.Sleep(10 * time.Millisecond)
			event := machines.Event(i)
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	})
	if err != nil {
		c.f.t.Error(err)
		return
	}
	c.running = append(c.running, r)
	c.f.store.PutRunner(r, "z")
}

func (c *crashingRunners) crash(r *machines.Runner) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	r.Close()
	c.f.store.Remove(machines.ServersPrefix + r.ID)
	time.Sleep(restartDelay)
	c.start()
}

// arrivalsAfter returns the number of requests with crashingPart that reached runners after t.
func (c *crashingRunners) arrivalsAfter(t time.Time) int {
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

// noticedCrash returns the time of the crash after which the part must be known, or of the
// last one if there are fewer.
func (c *crashingRunners) noticedCrash() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) == 0 {
		return time.Time{}, false
	}
	return c.crashes[min(crashesToNotice, len(c.crashes))-1], true
}

func isCrashing(q *http.Request) bool {
	return strings.Contains(q.Header.Get(machines.HeaderPrompt), crashingPart)
}

func streamHead(q *http.Request) string {
	return machines.ResponseHead(q, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

// sendPrompt sends a stream request with the prompt parts and reports whether its answer was
// complete. No two requests are alike.
func (m *member) sendPrompt(number int, parts ...string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.callers+"/chat/1", strings.NewReader(fmt.Sprint("body ", number)))
	if err != nil {
		m.f.t.Error(err)
		return false
	}
	prompt := ""
	for _, part := range append(parts, fmt.Sprintf("f%x", number)) {
		prompt += "," + part + ":10"
	}
	req.Host = machines.Host
	req.Header.Set("Authorization", machines.KeyScheme+machines.APIKey)
	req.Header.Set(machines.HeaderRequestID, fmt.Sprint("id", number))
	req.Header.Set(machines.HeaderDeadline, "5000")
	req.Header.Set(machines.HeaderTokens, "30,12")
	req.Header.Set(machines.HeaderPrompt, prompt[1:])
	resp, err := m.f.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == threeEvents()
}

// soundPart returns one of a few parts that requests share.
func soundPart(number int) string { return fmt.Sprintf("a%x", number%soundPartsNumber) }

// Guards against requests with one part in common that crash endpoint after endpoint.
func TestCrashingPartIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.PutPrepaidConfig(2, 100_000_000, "chat")
	runners := startCrashingRunners(f, 12)
	members := []*member{f.start("a"), f.start("b"), f.start("c")}
	f.waitUntil("all are listed", func() bool { return f.store.Count("instances/") == len(members) })
	time.Sleep(1500 * time.Millisecond) // until all instances have read the lists

	var senders sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	var soundSent, soundServed int
	lateFrom := func(windows int) bool {
		at, ok := runners.noticedCrash()
		return ok && time.Since(at) > time.Duration(windows)*contactWindow
	}
	every := func(interval time.Duration, send func(number int, m *member)) {
		senders.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					senders.Go(func() { send(number, members[number%len(members)]) })
				}
			}
		})
	}
	every(120*time.Millisecond, func(number int, m *member) { m.sendPrompt(1_000_000+number, soundPart(number), crashingPart) })
	every(25*time.Millisecond, func(number int, m *member) {
		late := lateFrom(2)
		served := m.sendPrompt(number, soundPart(number), "b"+strconv.Itoa(number%40))
		if late {
			mu.Lock()
			defer mu.Unlock()
			soundSent++
			if served {
				soundServed++
			}
		}
	})
	f.waitUntil("three windows after the fifth crash", func() bool { return lateFrom(3) })
	close(stop)
	senders.Wait()

	at, _ := runners.noticedCrash()
	if n := runners.arrivalsAfter(at.Add(contactWindow)); n > maxLateArrivals {
		t.Errorf("%d requests with the part reached runners later than %s after the fifth crash, %d crashes", n, contactWindow, len(runners.crashes))
	}
	if soundServed < soundSent/2 || soundSent < 20 {
		t.Errorf("%d of %d sound requests were served", soundServed, soundSent)
	}
	t.Logf("%d crashes, %d of %d sound requests served from two windows after", len(runners.crashes), soundServed, soundSent)
	restarted := f.start("d")
	time.Sleep(contactWindow)
	before := time.Now()
	for number := range 10 {
		restarted.sendPrompt(2_000_000+number, soundPart(number), crashingPart)
	}
	if n := runners.arrivalsAfter(before); n > 0 {
		t.Errorf("an instance that started later sent %d requests with the part", n)
	}
}
