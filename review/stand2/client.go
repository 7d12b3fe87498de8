package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// answer is what a client got for one attempt.
type answer struct {
	attempt  string
	sent     time.Time
	status   int // 0 without an answer
	events   int // of all attempts
	complete bool
	versions map[string]bool // of the runners that wrote the events
}

// resumption says which stream an attempt takes up again.
type resumption struct {
	resumes string // attempt that brought the first event
	after   int    // latest event
}

// resume takes up a stream that is not complete at another machine and adds what comes to the
// answer.
func (w *world) resume(a *answer, at *machine, path string, parts []string, events int) {
	next := w.sendAttempt(at, path, parts, events, &resumption{resumes: a.attempt, after: a.events})
	for v := range next.versions {
		a.versions[v] = true
	}
	a.events += next.events
	a.complete = a.events == events
}

// promptPart formats a part of a prompt.
func promptPart(id string, tokens int) string { return fmt.Sprintf("%s:%d", id, tokens) }

// ownPart returns a part that belongs to one request alone.
func ownPart() string { return promptPart(fmt.Sprintf("%08x", rand.Uint32()|1<<31), 300) }

// client sends every request on a new connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request for a stream of the given number of events to a machine and reads the
// answer to its end.
func (w *world) send(m *machine, path string, parts []string, events int) answer {
	return w.sendAttempt(m, path, parts, events, nil)
}

func (w *world) sendAttempt(m *machine, path string, parts []string, events int, r *resumption) answer {
	w.mu.Lock()
	w.attempts++
	a := answer{attempt: fmt.Sprintf("a%05d", w.attempts), sent: time.Now(), versions: map[string]bool{}}
	w.mu.Unlock()
	const deadline = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.ip+":8227"+path+"2f", bytes.NewReader(bytes.Repeat([]byte("x"), 1000)))
	if err != nil {
		return a
	}
	req.Host = host
	for name, value := range map[string]string{
		machines.HeaderRequestID: a.attempt, "X-Model-Name": "m", machines.HeaderTokens: fmt.Sprintf("1100,%d", events*stride), machines.HeaderPrompt: strings.Join(parts, ","),
		machines.HeaderDeadline: fmt.Sprint(deadline.Milliseconds()), "Authorization": machines.KeyScheme + apiKey,
	} {
		req.Header.Set(name, value)
	}
	if r != nil {
		req.Header.Set(machines.HeaderLastEventID, fmt.Sprint(r.after))
		req.Header.Set(machines.HeaderResumes, r.resumes)
		w.rec.log("client takes up %s after event %d as %s at %s", r.resumes, r.after, a.attempt, m.name)
	} else {
		w.rec.log("client sends %s to %s: %s %s", a.attempt, m.name, path, strings.Join(parts, ","))
	}
	resp, err := client.Do(req)
	if err != nil {
		w.rec.log("client gets no answer to %s: %v", a.attempt, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			a.events++
			if fields := strings.Fields(text); len(fields) == 5 {
				a.versions[fields[3]] = true
			}
		}
	}
	a.complete = lines.Err() == nil && a.status == http.StatusOK && a.events == events
	var versions []string
	for v := range a.versions {
		versions = append(versions, v)
	}
	w.rec.log("client gets %d to %s: %d of %d events, written by %v, complete: %t", a.status, a.attempt, a.events, events, versions, a.complete)
	return a
}
