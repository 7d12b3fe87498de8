package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

// client keeps enough idle connections that none is opened during a measurement.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0}}

// target is where requests go: an instance or a stand-in.
type target struct {
	address, lookups, chat string
	budget                 string // "" means the default
}

func through(i *fleet.Instance) target {
	return target{i.Callers, "/v1/apps/" + fleet.AppService + "/addresses?street=Allen", "/v1/chat/completions", ""}
}

func direct(e *fleet.Endpoint) target {
	return target{e.Address, "/addresses?street=Allen", "/v1/chat/completions", ""}
}

// endpoint returns the first stand-in of a service.
func (b *bench) endpoint(service string) *fleet.Endpoint {
	for _, e := range b.fleet.Endpoints {
		if e.Service == service {
			return e
		}
	}
	return nil
}

func (t target) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.WorkspaceKey)
	req.Header.Set("Content-Type", "application/json")
	if t.budget != "" {
		req.Header.Set("Clementinerack-Budget", t.budget)
	}
	return client.Do(req)
}

// lookup makes one repeatable app call and returns its duration.
func (t target) lookup(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	resp, err := t.do(ctx, http.MethodGet, t.lookups, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return time.Since(start), err
}

// streamed is what a streamed answer took.
type streamed struct {
	first  time.Duration
	worst  time.Duration // longest time between two tokens
	tokens int
}

func (t target) stream(ctx context.Context, prompt string, tokens int) (streamed, error) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		fleet.ModelService, tokens, tokens, prompt)
	start := time.Now()
	var s streamed
	resp, err := t.do(ctx, http.MethodPost, t.chat, body)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return s, fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	last, done := start, false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		text := lines.Text()
		done = done || text == "data: [DONE]"
		if !strings.Contains(text, `"content":"`) {
			continue
		}
		now := time.Now()
		if s.tokens == 0 {
			s.first = now.Sub(start)
		} else {
			s.worst = max(s.worst, now.Sub(last))
		}
		last = now
		s.tokens++
	}
	if !done {
		return s, fmt.Errorf("stream ended after %d tokens without its marker", s.tokens)
	}
	return s, nil
}

// parallel runs fn n times with at most workers at once and returns the
// durations and the first error.
func parallel(n, workers int, fn func() (time.Duration, error)) ([]time.Duration, error) {
	var (
		mu     sync.Mutex
		out    []time.Duration
		failed error
		wg     sync.WaitGroup
	)
	jobs := make(chan struct{}, n)
	for range n {
		jobs <- struct{}{}
	}
	close(jobs)
	for range workers {
		wg.Go(func() {
			for range jobs {
				d, err := fn()
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					out = append(out, d)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out, failed
}

// quantile returns a quantile in milliseconds.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
