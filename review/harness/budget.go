package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

func init() { cases["unlimited-output"] = unlimitedOutput }

// usage counts what a tenant has got, as the rule BUDGET does: the prompt of each request once,
// and the output tokens that were made for it.
type usage struct {
	mu     sync.Mutex
	tokens int64
}

func (u *usage) add(n int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens += n
}

func (u *usage) total() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tokens
}

// parseTokens parses the numbers of prompt and output tokens.
func parseTokens(req *http.Request) (prompt, output uint64) {
	in, out, _ := strings.Cut(req.Header.Get(machines.HeaderTokens), ",")
	prompt, _ = strconv.ParseUint(in, 10, 64)
	output, _ = strconv.ParseUint(out, 10, 64)
	return prompt, output
}

// engineMemory is the memory of a model engine, in tokens.
const engineMemory = 352457

// meteredEngine answers as a sound model runner: it rejects what is larger than its memory as if
// it were full, and streams the rest. step is the time of an event.
func meteredEngine(c *caseRun, u *usage, step time.Duration) answerer {
	return func(r *runner, req *http.Request, _ []byte, conn net.Conn) bool {
		prompt, output := parseTokens(req)
		id, entryTenant := attemptID(req), req.Header.Get(machines.HeaderTenant)
		if prompt > engineMemory || output > engineMemory || prompt+output > engineMemory {
			c.logf("runner %s rejects %s of %s: %d prompt tokens, at most %d output tokens", r.id, id, entryTenant, prompt, output)
			return writeRefusal(conn, req)
		}
		u.add(int64(prompt))
		events, ok := writeStream(conn, req, 1, int(output)/tokensPerEvent, step)
		u.add(int64(events) * tokensPerEvent)
		c.logf("runner %s ran %s of %s: %d prompt tokens, %d output tokens; the tenant has got %d", r.id, id, entryTenant, prompt, events*tokensPerEvent, u.total())
		return ok
	}
}

// unlimitedOutput: a tenant's clients use up what it has prepaid and go on asking. Some of them ask
// for charts without a limit on the output. The tenant must not get more than it has prepaid.
func unlimitedOutput(c *caseRun) (broken bool, err error) {
	const (
		prepaid  = 400_000
		duration = 50 * time.Second
		prompt   = 17_020 // a mean chart: 13,300 shared and 3,720 own tokens
	)
	s, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	putConfig(s, prepaid, chartRoute)
	u := &usage{}
	for i, zone := range []string{"valle-maipo", "valle-maipo", "valle-rapel", "valle-rapel"} {
		r, err := startRunner(s, fmt.Sprintf("i-motor-%d", i), modelService, zone, 64, meteredEngine(c, u, 2*time.Millisecond))
		if err != nil {
			return false, err
		}
		defer r.close()
	}
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, zone := range []string{"valle-maipo", "valle-rapel"} {
		if _, err := f.add(zone, storeAddress); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	maxOutput := "9223372036854775807" // the largest 64-bit number, for no limit
	if !c.trouble {
		maxOutput = "120"
	}
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	send := func(entry *entry, kind, tokens, prefix string) {
		res := doOnce(entry.frontend, request{method: "POST", path: "/carta/1", tokens: tokens, prefix: prefix, body: []byte("{}"), deadline: 10 * time.Second})
		c.logf("client (%s) %s, tokens %s: status %d, %d bytes, %v", kind, res.id, tokens, res.status, len(res.body), res.err)
		mu.Lock()
		statuses[fmt.Sprintf("%s %d", kind, res.status)]++
		mu.Unlock()
		time.Sleep(max(res.retry, 200*time.Millisecond))
	}
	for i := range 24 {
		wg.Go(func() {
			for time.Now().Before(end) {
				send(f.entries[i%2], "plain", "1460,40", "5c1e07a2:800,e4402b7d:660")
			}
		})
	}
	for i := range 6 {
		wg.Go(func() {
			for time.Now().Before(end) {
				send(f.entries[i%2], "chart", fmt.Sprintf("%d,%s", prompt, maxOutput), "5c1e07a2:13300,91bd3f06:3720")
			}
		})
	}
	wg.Wait()
	c.sayf("answers by client and status: %v", statuses)
	c.sayf("the tenant has prepaid %d tokens and has got %d", int64(prepaid), u.total())
	return u.total() > prepaid, nil
}
