package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// persistentConnection is a keep-alive connection of a caller to one instance.
type persistentConnection struct {
	cluster   *testCluster
	instance  *testInstance
	transport *http.Transport
}

// lookup sends a lookup and returns the status and the body of the whole answer, or
// the error that ended the connection.
func (pc *persistentConnection) lookup(tag string) (int, string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+callerAddress(pc.instance.id.Instance)+"/v1/apps/rounds-app/records/"+tag, nil)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+workspaceKey)
	r.Header.Set("Clementinerack-Budget", ampleBudget)
	r.Header.Set("Clementinerack-Timeout", callTimeout.String())
	resp, err := pc.transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// TestPersistentConnectionDuringStop guards against a request on an open connection
// that is forwarded and then cut: at each step of a graceful stop, it must get a whole
// answer, a refusal with the outcome not-run, or a closed connection without having
// run.
func TestPersistentConnectionDuringStop(t *testing.T) {
	for _, step := range []string{"announced", "draining", "entry drained", "shards moved", "closing"} {
		t.Run(step, func(t *testing.T) {
			runCluster(t, func(tc *testCluster) {
				tc.boot()
				n := tc.instances["b2"]
				pc := &persistentConnection{cluster: tc, instance: n, transport: &http.Transport{DialContext: tc.pipes.dialer("caller")}}
				defer pc.transport.CloseIdleConnections()
				if status, body, err := pc.lookup("first"); err != nil || body != appAnswer("first") {
					t.Fatalf("before the stop: status %d, body %q, error %v", status, body, err)
				}
				n.onStop = func(at string) {
					if at != step {
						return
					}
					tc.tasks.Go(func() { pc.checkLookup(t, "during-"+strings.ReplaceAll(step, " ", "-")) })
					waitForArrival()
				}
				if err := n.stop(); err != nil {
					t.Errorf("stop: %v", err)
				}
			})
		})
	}
}

// waitForArrival gives a request that was just sent the time to arrive.
func waitForArrival() { time.Sleep(time.Millisecond) }

// checkLookup sends a lookup and verifies its result against the executions.
func (pc *persistentConnection) checkLookup(t *testing.T, tag string) {
	status, body, err := pc.lookup(tag)
	ran := false
	for _, r := range pc.cluster.executions() {
		ran = ran || r.tag == tag
	}
	switch {
	case err != nil && ran:
		t.Errorf("%s ran and its connection ended with %v", tag, err)
	case err == nil && status == http.StatusOK && body != appAnswer(tag):
		t.Errorf("%s got the wrong answer %q", tag, body)
	case err == nil && status != http.StatusOK && (ran || !strings.Contains(body, `"not-run"`)):
		t.Errorf("%s was refused with status %d and ran: %v; body %q", tag, status, ran, body)
	}
}
