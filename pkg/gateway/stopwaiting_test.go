package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// waitingRights never has enough rights. waiting is closed when a request waits for them.
type waitingRights struct{ waiting chan struct{} }

func (r waitingRights) Reserve(ctx context.Context, _ gateway.Reservation) (*failure.Error, time.Duration) {
	close(r.waiting)
	<-ctx.Done()
	return failure.New(failure.Limited, "", "too few rights").WithOutcome(failure.NotRun).WithCause(failure.CauseRights), time.Minute
}

func (waitingRights) Settle(string, rights.Tokens, rights.Tokens) {}

// Guards against a stopping instance that closes the connection of a request that waits for rights, or sends its caller away for long.
func TestStopRefusesWaitingRequests(t *testing.T) {
	g := newTestGateway(t, machines.Answer(http.StatusOK, "x"))
	waiting := make(chan struct{})
	g.waitFor = waitingRights{waiting}
	g.startGateway()
	q := g.newRequest("/book/1", "body")
	q.Header.Set(machines.HeaderTokens, "10,10")
	got := make(chan callerResponse, 1)
	go func() { got <- g.send(q) }()
	<-waiting
	endDrain(t, g)
	if r := <-got; r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, "stopping") || !strings.Contains(r.body, "not-run") || r.header.Get("Retry-After") == "60" {
		t.Errorf("%+v", r)
	}
}
