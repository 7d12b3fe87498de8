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
	"github.com/clementinerack/clementinerack/pkg/keepalive"
	"github.com/clementinerack/clementinerack/pkg/limits"
)

const (
	idleConnTimeout   = 15 * time.Second
	keepAliveInterval = 15 * time.Second
	maxIdleConns      = 16 // one watch per key plus a few concurrent calls
)

// HTTPClient is a client of the store and the instance list over HTTP. It repeats
// reads after failures, but not writes and watches. It is safe for concurrent use.
type HTTPClient struct {
	options   HTTPOptions
	scheme    string
	transport *http.Transport
	http      *http.Client
	breaker   *gobreaker.CircuitBreaker[response]
	metrics   *clientMetrics
	ctx       context.Context // cancelled by Close
	cancel    context.CancelFunc
	mu        sync.Mutex // held when Close cancels ctx, so that no attempt begins afterwards
	attempts  sync.WaitGroup
}

var (
	_ Store     = (*HTTPClient)(nil)
	_ Lister    = (*HTTPClient)(nil)
	_ Registrar = (*HTTPClient)(nil)
)

// NewHTTPClient returns a client of the store, which the caller must close. It makes
// no call. The metrics are registered with reg unless it is nil. Options that cannot
// work give failure.Invalid.
func NewHTTPClient(opts HTTPOptions, reg prometheus.Registerer) (*HTTPClient, error) {
	opts, err := opts.validateWithDefaults()
	if err != nil {
		return nil, err
	}
	c := &HTTPClient{options: opts, scheme: "http", breaker: newBreaker(opts)}
	if c.metrics, err = newClientMetrics(c.breaker.State, reg); err != nil {
		return nil, err
	}
	c.transport = &http.Transport{
		DialContext:            (&net.Dialer{Timeout: opts.CallTimeout, KeepAlive: keepAliveInterval}).DialContext,
		TLSHandshakeTimeout:    opts.CallTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: limits.ResponseHeadBytes,
	}
	if opts.TLS != nil {
		c.scheme = "https"
		c.transport.TLSClientConfig = opts.TLS.Clone()
	}
	c.http = &http.Client{
		Transport:     keepalive.New(c.transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// newBreaker returns the circuit breaker that all calls of a client share.
func newBreaker(opts HTTPOptions) *gobreaker.CircuitBreaker[response] {
	return gobreaker.NewCircuitBreaker[response](gobreaker.Settings{
		Name:        "platform store",
		Timeout:     opts.BreakerOpenTimeout,
		ReadyToTrip: func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= opts.BreakerFailures },
		IsExcluded: func(err error) bool {
			var attemptErr *attemptError
			return errors.As(err, &attemptErr) && attemptErr.canceled
		},
	})
}

// Close cancels all calls, waits until they have returned, and closes the idle
// connections. Later calls fail with failure.Unavailable.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.attempts.Wait()
	c.transport.CloseIdleConnections()
}

// beginAttempt adds an attempt to those that Close waits for. It returns false if
// the client is closed, because a later attempt would leave an idle connection open.
func (c *HTTPClient) beginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	c.attempts.Add(1)
	return true
}

// Get implements Store.
func (c *HTTPClient) Get(ctx context.Context, key string) (Record, error) {
	if err := CheckKey(key); err != nil {
		return Record{}, err
	}
	r := c.newKeyRequest(CallGet, http.MethodGet, key)
	return callWithRetries(ctx, c, r, func(resp response) (Record, error) { return decodeRecord(r, key, resp) })
}

// CompareAndSwap implements Store. With failure.Conflict it returns the current
// version if the response contains it, and otherwise 0.
func (c *HTTPClient) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if err := CheckSwap(key, value); err != nil {
		return 0, err
	}
	r := c.newKeyRequest(CallSwap, http.MethodPut, key)
	r.query = url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	r.body = value
	return callOnce(ctx, c, r, func(resp response) (uint64, error) {
		version, versionErr := parseVersion(r, resp)
		if err := statusError(r, resp); err != nil {
			return version, err
		}
		if versionErr == nil && version <= expect {
			return 0, r.unavailableOrUncertain(true, "response has version %d after a swap of version %d", version, expect)
		}
		return version, versionErr
	})
}

// Watch implements Store. It does not retry, so a caller that watches in a loop must
// wait after an error.
func (c *HTTPClient) Watch(ctx context.Context, key string, after uint64) (Record, error) {
	if err := CheckKey(key); err != nil {
		return Record{}, err
	}
	r := c.newKeyRequest(CallWatch, http.MethodGet, key)
	decode := func(resp response) (Record, error) { return decodeRecord(r, key, resp) }
	if c.breaker.State() != gobreaker.StateClosed {
		// A half-open breaker admits one call. If that call were a long wait, all
		// other calls would be rejected meanwhile.
		r.query = watchQuery(after, 0)
		if record, err := callOnce(ctx, c, r, decode); err != nil || record.Version > after {
			return record, err
		}
	}
	r.query = watchQuery(after, c.options.WatchWait)
	r.timeout = c.options.WatchWait + c.options.WatchMargin
	return callOnce(ctx, c, r, decode)
}

// AcquireLease implements Store. With failure.Conflict it returns the current holder
// and token if the response contains them.
func (c *HTTPClient) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	if err := CheckLease(name, holder, ttl); err != nil {
		return Lease{}, err
	}
	ttl = ttl.Truncate(time.Millisecond) // the unit of the protocol
	body, err := json.Marshal(LeaseRequest{Holder: holder, TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, errors.Wrapf(err, "encode request for lease %q", name)
	}
	r := c.newRequest(CallLease, http.MethodPost, leasePath+name)
	r.body = body
	start := time.Now()
	return callOnce(ctx, c, r, func(resp response) (Lease, error) {
		var lease LeaseResponse
		decodeErr := json.Unmarshal(resp.body, &lease)
		if err := statusError(r, resp); err != nil {
			return Lease{Name: name, Holder: lease.Holder, Token: lease.Token}, err
		}
		if decodeErr != nil || lease.Token == 0 {
			return Lease{}, r.unavailableOrUncertain(true, "response has no fencing token")
		}
		return Lease{Name: name, Holder: holder, Token: lease.Token, Expires: start.Add(ttl)}, nil
	})
}

// ReleaseLease implements Store.
func (c *HTTPClient) ReleaseLease(ctx context.Context, name, holder string) error {
	if err := CheckKey(name); err != nil {
		return err
	}
	r := c.newRequest(CallRelease, http.MethodDelete, leasePath+name)
	r.query = url.Values{"holder": {holder}}
	return c.callWithoutResult(ctx, r)
}

// Instances implements Lister.
func (c *HTTPClient) Instances(ctx context.Context, service string) ([]Instance, error) {
	r := c.newRequest(CallList, http.MethodGet, instancesPath)
	if service != "" {
		r.query = url.Values{"service": {service}}
	}
	return callWithRetries(ctx, c, r, func(resp response) ([]Instance, error) {
		if err := statusError(r, resp); err != nil {
			return nil, err
		}
		list := []Instance{}
		if err := json.Unmarshal(resp.body, &list); err != nil {
			return nil, r.unavailableOrUncertain(true, "response is not an instance list: %v", err)
		}
		return list, nil
	})
}

// Register implements Registrar.
func (c *HTTPClient) Register(ctx context.Context, instance Instance) error {
	if err := CheckInstance(instance.ID); err != nil {
		return err
	}
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Wrapf(err, "encode instance %q", instance.ID)
	}
	r := c.newRequest(CallRegister, http.MethodPut, instancesPath+"/"+instance.ID)
	r.body = body
	return c.callWithoutResult(ctx, r)
}

// Deregister implements Registrar.
func (c *HTTPClient) Deregister(ctx context.Context, id string) error {
	if err := CheckInstance(id); err != nil {
		return err
	}
	return c.callWithoutResult(ctx, c.newRequest(CallDeregister, http.MethodDelete, instancesPath+"/"+id))
}

// callWithoutResult makes a write whose response has no body.
func (c *HTTPClient) callWithoutResult(ctx context.Context, r request) error {
	_, err := callOnce(ctx, c, r, func(resp response) (struct{}, error) { return struct{}{}, statusError(r, resp) })
	return err
}

// newKeyRequest returns a request for a key of the store.
func (c *HTTPClient) newKeyRequest(kind CallKind, method, key string) request {
	return c.newRequest(kind, method, kvPath+key)
}

// newRequest returns a request without query and body, with the default timeout.
func (c *HTTPClient) newRequest(kind CallKind, method, path string) request {
	return request{kind: kind, method: method, path: path, timeout: c.options.CallTimeout}
}

// watchQuery returns the parameters of a watch for a version greater than after.
func watchQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
}

// decodeRecord decodes the response to a get or watch of key.
func decodeRecord(r request, key string, resp response) (Record, error) {
	// A 404 without the version header does not come from the store, so it does not
	// mean that the key is absent.
	if resp.status == http.StatusNotFound && resp.version == "0" {
		return Record{Key: key}, nil
	}
	if err := statusError(r, resp); err != nil {
		return Record{}, err
	}
	version, err := parseVersion(r, resp)
	if err != nil {
		return Record{}, err
	}
	if version == 0 || len(resp.body) > MaxValueBytes {
		return Record{}, failure.New(failure.Unavailable, retryLaterRemedy,
			"response for %q has version %d and %d bytes", key, version, len(resp.body))
	}
	return Record{Key: key, Value: resp.body, Version: version}, nil
}
