package kvstore

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sony/gobreaker/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

const (
	idleTimeout     = 15 * time.Second
	keepAlive       = 15 * time.Second
	maxIdlePerStore = 16 // one watch per key plus a few calls in parallel
)

// HTTPClient is the store and the instance list over HTTP. Reads are repeated
// after failures; writes and watches are not. It is safe for concurrent use.
type HTTPClient struct {
	options   HTTPOptions
	scheme    string
	transport *http.Transport
	http      *http.Client
	breaker   *gobreaker.CircuitBreaker[answer]
	metrics   *clientMetrics
	open      context.Context // ends with Close
	close     context.CancelFunc
	mu        sync.Mutex // orders enter and Close
	calls     sync.WaitGroup
}

var (
	_ Store     = (*HTTPClient)(nil)
	_ Lister    = (*HTTPClient)(nil)
	_ Registrar = (*HTTPClient)(nil)
)

// NewHTTPClient returns a client of the store. Metrics are registered with reg
// unless it is nil. It makes no call; the caller must Close the client.
func NewHTTPClient(opts HTTPOptions, reg prometheus.Registerer) (*HTTPClient, error) {
	opts, err := opts.check()
	if err != nil {
		return nil, err
	}
	c := &HTTPClient{options: opts, scheme: "http", breaker: newBreaker(opts)}
	if c.metrics, err = newClientMetrics(c.breaker.State, reg); err != nil {
		return nil, err
	}
	c.transport = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opts.CallTimeout, KeepAlive: keepAlive}).DialContext,
		TLSHandshakeTimeout: opts.CallTimeout,
		MaxIdleConnsPerHost: maxIdlePerStore,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if opts.TLS != nil {
		c.scheme = "https"
		c.transport.TLSClientConfig = opts.TLS.Clone()
	}
	c.http = &http.Client{
		Transport:     c.transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.open, c.close = context.WithCancel(context.Background())
	return c, nil
}

func newBreaker(opts HTTPOptions) *gobreaker.CircuitBreaker[answer] {
	return gobreaker.NewCircuitBreaker[answer](gobreaker.Settings{
		Name:        "platform store",
		Timeout:     opts.BreakerOpenTimeout,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= opts.BreakerFailures },
		IsExcluded: func(err error) bool {
			var failed *callError
			return errors.As(err, &failed) && failed.abandoned
		},
	})
}

// Close ends all calls, waits for them to return, and closes the connections.
// Later calls fail with failure.Unavailable.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	c.close()
	c.mu.Unlock()
	c.calls.Wait()
	c.transport.CloseIdleConnections()
}

// enter adds an attempt to those that Close waits for. It returns false after
// Close: an attempt that starts then would leave an idle connection behind.
func (c *HTTPClient) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open.Err() != nil {
		return false
	}
	c.calls.Add(1)
	return true
}

// Get implements Store.
func (c *HTTPClient) Get(ctx context.Context, key string) (Record, error) {
	if err := CheckKey(key); err != nil {
		return Record{}, err
	}
	r := c.keyRequest(CallGet, http.MethodGet, key)
	return read(ctx, c, r, func(a answer) (Record, error) { return decodeRecord(r, key, a) })
}

// CompareAndSwap implements Store. With failure.Conflict it returns the
// current version if the store named it.
func (c *HTTPClient) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if err := CheckSwap(key, value); err != nil {
		return 0, err
	}
	r := c.keyRequest(CallSwap, http.MethodPut, key)
	r.query = url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	r.body = value
	return send(ctx, c, r, func(a answer) (uint64, error) {
		version, malformed := parseVersion(r, a)
		if err := rejected(r, a); err != nil {
			return version, err
		}
		if malformed == nil && version <= expect {
			return 0, r.lost(true, "answer has version %d after a swap of version %d", version, expect)
		}
		return version, malformed
	})
}

// Watch implements Store. It makes one attempt, so a caller that loops must
// pause after an error.
func (c *HTTPClient) Watch(ctx context.Context, key string, after uint64) (Record, error) {
	if err := CheckKey(key); err != nil {
		return Record{}, err
	}
	r := c.keyRequest(CallWatch, http.MethodGet, key)
	decode := func(a answer) (Record, error) { return decodeRecord(r, key, a) }
	if c.breaker.State() != gobreaker.StateClosed {
		// A long wait as the breaker's probe would hold up all other calls.
		r.query = watchQuery(after, 0)
		if record, err := send(ctx, c, r, decode); err != nil || record.Version > after {
			return record, err
		}
	}
	r.query = watchQuery(after, c.options.WatchWait)
	r.timeout = c.options.WatchWait + c.options.WatchMargin
	return send(ctx, c, r, decode)
}

// AcquireLease implements Store. With failure.Conflict it returns the present
// holder and token if the store named them.
func (c *HTTPClient) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	if err := CheckLease(name, holder, ttl); err != nil {
		return Lease{}, err
	}
	ttl = ttl.Truncate(time.Millisecond) // the unit of the protocol
	body, err := json.Marshal(LeaseRequest{Holder: holder, TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, errors.Wrap(err, "encode a lease request")
	}
	r := c.request(CallLease, http.MethodPost, leasePath+name)
	r.body = body
	start := time.Now()
	return send(ctx, c, r, func(a answer) (Lease, error) {
		var got LeaseResponse
		malformed := json.Unmarshal(a.body, &got)
		if err := rejected(r, a); err != nil {
			return Lease{Name: name, Holder: got.Holder, Token: got.Token}, err
		}
		if malformed != nil || got.Token == 0 {
			return Lease{}, r.lost(true, "answer has no fencing token")
		}
		return Lease{Name: name, Holder: holder, Token: got.Token, Expires: start.Add(ttl)}, nil
	})
}

// ReleaseLease implements Store.
func (c *HTTPClient) ReleaseLease(ctx context.Context, name, holder string) error {
	if err := CheckKey(name); err != nil {
		return err
	}
	r := c.request(CallRelease, http.MethodDelete, leasePath+name)
	r.query = url.Values{"holder": {holder}}
	return c.sendOnly(ctx, r)
}

// Instances implements Lister.
func (c *HTTPClient) Instances(ctx context.Context, service string) ([]Instance, error) {
	r := c.request(CallList, http.MethodGet, instancesPath)
	if service != "" {
		r.query = url.Values{"service": {service}}
	}
	return read(ctx, c, r, func(a answer) ([]Instance, error) {
		if err := rejected(r, a); err != nil {
			return nil, err
		}
		list := []Instance{}
		if err := json.Unmarshal(a.body, &list); err != nil {
			return nil, r.lost(true, "answer is not an instance list: %v", err)
		}
		return list, nil
	})
}

// Register implements Registrar.
func (c *HTTPClient) Register(ctx context.Context, in Instance) error {
	if err := CheckInstance(in.ID); err != nil {
		return err
	}
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode an instance")
	}
	r := c.request(CallRegister, http.MethodPut, instancesPath+"/"+in.ID)
	r.body = body
	return c.sendOnly(ctx, r)
}

// Deregister implements Registrar.
func (c *HTTPClient) Deregister(ctx context.Context, id string) error {
	if err := CheckInstance(id); err != nil {
		return err
	}
	return c.sendOnly(ctx, c.request(CallDeregister, http.MethodDelete, instancesPath+"/"+id))
}

// sendOnly sends a write whose answer has no content.
func (c *HTTPClient) sendOnly(ctx context.Context, r request) error {
	_, err := send(ctx, c, r, func(a answer) (struct{}, error) { return struct{}{}, rejected(r, a) })
	return err
}

func (c *HTTPClient) keyRequest(kind CallKind, method, key string) request {
	return c.request(kind, method, kvPath+key)
}

func (c *HTTPClient) request(kind CallKind, method, path string) request {
	return request{kind: kind, method: method, path: path, timeout: c.options.CallTimeout}
}

func watchQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
}

func decodeRecord(r request, key string, a answer) (Record, error) {
	// Without the version header a 404 comes from something else than the store
	// and must not pass for an absent key.
	if a.status == http.StatusNotFound && a.version == "0" {
		return Record{Key: key}, nil
	}
	if err := rejected(r, a); err != nil {
		return Record{}, err
	}
	version, err := parseVersion(r, a)
	if err != nil {
		return Record{}, err
	}
	if version == 0 || len(a.body) > MaxValueBytes {
		return Record{}, failure.New(failure.Unavailable, retryRemedy,
			"answer for %q has version %d and %d bytes", key, version, len(a.body))
	}
	return Record{Key: key, Value: a.body, Version: version}, nil
}
