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

// client keeps enough idle connections that measurements open no new ones.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0}}

// target is the destination of requests: an instance or an endpoint stand-in.
type target struct {
	address, lookupPath, chatPath string
	budget                        string // "" means the default budget
}

func instanceTarget(i *fleet.Instance) target {
	return target{i.Callers, "/v1/apps/" + fleet.AppService + "/addresses?street=Allen", "/v1/chat/completions", ""}
}

func endpointTarget(e *fleet.Endpoint) target {
	return target{e.Address, "/addresses?street=Allen", "/v1/chat/completions", ""}
}

// firstEndpoint returns the first endpoint of a service, or nil if it has none.
func (b *bench) firstEndpoint(service string) *fleet.Endpoint {
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

// lookup sends one repeatable app call and returns its duration.
func (t target) lookup(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	resp, err := t.do(ctx, http.MethodGet, t.lookupPath, nil)
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

// streamTiming holds the timing of one streamed completion.
type streamTiming struct {
	firstToken  time.Duration // from the start of the request
	maxTokenGap time.Duration // longest time between two tokens
	tokens      int
}

// stream requests a streamed completion with the given number of tokens and
// measures it. A stream without the terminal marker is an error.
func (t target) stream(ctx context.Context, prompt string, tokens int) (streamTiming, error) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		fleet.ModelService, tokens, tokens, prompt)
	start := time.Now()
	var s streamTiming
	resp, err := t.do(ctx, http.MethodPost, t.chatPath, body)
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
			s.firstToken = now.Sub(start)
		} else {
			s.maxTokenGap = max(s.maxTokenGap, now.Sub(last))
		}
		last = now
		s.tokens++
	}
	if !done {
		return s, fmt.Errorf("the stream ended after %d tokens without the terminal marker", s.tokens)
	}
	return s, nil
}

// runParallel calls fn n times from a number of concurrent workers. It returns the
// durations of the calls without an error, and the last error.
func runParallel(n, workers int, fn func() (time.Duration, error)) ([]time.Duration, error) {
	var (
		mu      sync.Mutex
		out     []time.Duration
		lastErr error
		wg      sync.WaitGroup
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
					lastErr = err
				} else {
					out = append(out, d)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out, lastErr
}

// quantileMillis returns the quantile q of durations in milliseconds, or 0 if
// there are none.
func quantileMillis(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
