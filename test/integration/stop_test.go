package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// keptConnection is a caller's connection that stays open between its requests.
type keptConnection struct {
	w         *world
	n         *node
	transport *http.Transport
}

// lookup sends a lookup and returns the status and the body of a whole answer, or
// the error with which the connection ended.
func (k *keptConnection) lookup(tag string) (int, string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+callersAddress(k.n.id.Instance)+"/v1/apps/rounds-app/records/"+tag, nil)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+workspaceKey)
	r.Header.Set("Clementinerack-Budget", ampleBudget)
	r.Header.Set("Clementinerack-Timeout", callTimeout.String())
	resp, err := k.transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// TestKeptConnectionDuringStop guards against a request on an open connection
// that is passed on and then cut: at each step of a graceful stop it gets a whole
// answer, the refusal "not run", or the end of a connection that was not read.
func TestKeptConnectionDuringStop(t *testing.T) {
	for _, step := range []string{"announced", "draining", "entry drained", "shards moved", "closing"} {
		t.Run(step, func(t *testing.T) {
			runWorld(t, func(w *world) {
				w.boot()
				n := w.nodes["b2"]
				k := &keptConnection{w: w, n: n, transport: &http.Transport{DialContext: w.wire.dialer("caller")}}
				defer k.transport.CloseIdleConnections()
				if status, body, err := k.lookup("first"); err != nil || body != appAnswer("first") {
					t.Fatalf("before the stop: status %d, body %q, error %v", status, body, err)
				}
				n.onStop = func(at string) {
					if at != step {
						return
					}
					w.work.Go(func() { k.check(t, "during-"+strings.ReplaceAll(step, " ", "-")) })
					letRequestArrive()
				}
				if err := n.stop(); err != nil {
					t.Errorf("stop: %v", err)
				}
			})
		})
	}
}

// letRequestArrive lets a request on its way arrive.
func letRequestArrive() { time.Sleep(time.Millisecond) }

func (k *keptConnection) check(t *testing.T, tag string) {
	status, body, err := k.lookup(tag)
	ran := false
	for _, r := range k.w.runs() {
		ran = ran || r.tag == tag
	}
	switch {
	case err != nil && ran:
		t.Errorf("%s ran and its connection ended with %v", tag, err)
	case err == nil && status == http.StatusOK && body != appAnswer(tag):
		t.Errorf("%s got the answer %q", tag, body)
	case err == nil && status != http.StatusOK && (ran || !strings.Contains(body, `"not-run"`)):
		t.Errorf("%s was refused with status %d and ran: %v; body %q", tag, status, ran, body)
	}
}
