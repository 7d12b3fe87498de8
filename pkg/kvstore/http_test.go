package kvstore_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	standin "github.com/clementinerack/clementinerack/standins/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newClient returns a client of a new stand-in, over TLS if start says so. Its
// deadline is so long that a busy machine does not change a verdict.
func newClient(t *testing.T, start func(http.Handler) *httptest.Server) (*standin.Server, *kvstore.HTTPClient) {
	t.Helper()
	handler, err := standin.New()
	if err != nil {
		t.Fatal(err)
	}
	server := start(handler)
	opts := kvstore.HTTPOptions{
		Address: server.Listener.Addr().String(), ClientID: kvstoretest.FaultClient,
		CallTimeout: time.Hour, RetryDelay: time.Millisecond,
	}
	if server.TLS != nil {
		opts.TLS = server.Client().Transport.(*http.Transport).TLSClientConfig
	}
	client, err := kvstore.NewHTTPClient(opts, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		handler.Close()
		server.Close()
	})
	return handler, client
}

// Guards against a client and a stand-in that deviate from the in-memory store.
func TestHTTPContract(t *testing.T) {
	kvstoretest.TestStore(t, func(t *testing.T) kvstore.Store {
		_, client := newClient(t, httptest.NewServer)
		return client
	})
	kvstoretest.TestFaults(t, func(t *testing.T) (*kvstoretest.Fake, kvstore.Store) {
		server, client := newClient(t, httptest.NewServer)
		return server.Store(), client
	})
}

// Guards against registrations that get lost on the way to the list, and
// against a TLS configuration that is not used.
func TestInstances(t *testing.T) {
	_, c := newClient(t, httptest.NewTLSServer)
	ctx := t.Context()
	entry := kvstore.Instance{ID: "i 1", Service: "s", Domain: "d", Address: "127.0.0.1:1", State: kvstore.Leaving}
	for _, err := range []error{
		c.Register(ctx, entry), c.Register(ctx, kvstore.Instance{ID: "i2"}), c.Deregister(ctx, "i2"), c.Deregister(ctx, "absent"),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	for service, want := range map[string]int{"": 1, "s": 1, "other": 0} {
		list, err := c.Instances(ctx, service)
		if err != nil || len(list) != want || (want == 1 && list[0] != entry) {
			t.Errorf("service %q: %v, %v", service, list, err)
		}
	}
}
