package keepalive_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/keepalive"
)

type connKey struct{}

// Guards against a request on a connection that carried a refusal, one that fails or runs twice because of it, and connections that are not reused.
func TestConnectionOfARefusalIsNotReused(t *testing.T) {
	const callers, callsEach = 8, 200
	for _, startServer := range []func(*httptest.Server){(*httptest.Server).Start, (*httptest.Server).StartTLS} {
		var mu sync.Mutex
		refused := map[any]bool{} // by connection
		requests, connections := 0, 0
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			c := q.Context().Value(connKey{})
			mu.Lock()
			defer mu.Unlock()
			if refused[c] {
				t.Error("a request on the connection of a refusal")
			}
			if requests++; requests%10 == 0 {
				refused[c] = true
				w.WriteHeader([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[requests/10%2])
			}
		}))
		server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			mu.Lock()
			defer mu.Unlock()
			connections++
			return context.WithValue(ctx, connKey{}, c)
		}
		startServer(server)
		base := server.Client().Transport.(*http.Transport)
		base.DialContext, base.MaxIdleConnsPerHost = (&net.Dialer{}).DialContext, callers
		client := &http.Client{Transport: keepalive.New(base)}
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for range callsEach {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL, strings.NewReader("x"))
					if err != nil {
						t.Error(err)
						return
					}
					resp, err := client.Do(req)
					if err != nil {
						t.Error(err)
						continue
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
		}
		wg.Wait()
		server.Close()
		if requests != callers*callsEach || connections > requests/5 {
			t.Errorf("%d requests on %d connections", requests, connections)
		}
		t.Logf("%d requests, %d refused, %d connections", requests, len(refused), connections)
	}
}
