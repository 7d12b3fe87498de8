package quarantine

import (
	"context"
	"fmt"
	"io"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// Guards against a death that is missed because its address does not refuse connections, and against a full or cut-off endpoint that is taken for dead.
func TestConnectionErrorsThatShowADeath(t *testing.T) {
	for _, tc := range []struct {
		broken, connect error
		want            bool
	}{
		{io.EOF, syscall.ECONNREFUSED, true},
		{context.DeadlineExceeded, syscall.ECONNREFUSED, true},
		{nil, errors.Wrap(syscall.ECONNREFUSED, "dial"), true},
		{errors.Wrap(io.ErrUnexpectedEOF, "read"), context.DeadlineExceeded, true},
		{io.EOF, syscall.EHOSTUNREACH, true},
		{io.EOF, syscall.ETIMEDOUT, true},
		{io.EOF, nil, false},
		{io.EOF, syscall.ECONNRESET, false},
		{syscall.ECONNRESET, context.DeadlineExceeded, false},
		{syscall.ETIMEDOUT, context.DeadlineExceeded, false},
		{context.DeadlineExceeded, syscall.EHOSTUNREACH, false},
		{nil, context.DeadlineExceeded, false},
	} {
		if got := EndingOf(tc.broken).ShowsDeath(tc.connect); got != tc.want {
			t.Errorf("broken by %v, connecting fails with %v: %t", tc.broken, tc.connect, got)
		}
	}
}

// Guards against a death that nobody notices because something else accepts connections at the address, and against one that is seen in a planned end or a broken answer.
func TestListShowsDeathsAfterInterruptions(t *testing.T) {
	running := catalog.Endpoint{ID: "e", Address: "a", Started: 5}
	other := catalog.Endpoint{ID: "other"}
	change := func(f func(*catalog.Endpoint)) catalog.Endpoint { e := running; f(&e); return e }
	draining := change(func(e *catalog.Endpoint) { e.Draining = true })
	for _, tc := range []struct {
		desc   string
		before catalog.Endpoint   // as listed at the interruption
		after  []catalog.Endpoint // as listed later
		delay  time.Duration
		dead   bool
	}{
		{"goes on", running, []catalog.Endpoint{running}, time.Second, false},
		{"leaves the list", running, []catalog.Endpoint{other}, 4 * time.Second, true},
		{"starts again under its ID", running, []catalog.Endpoint{change(func(e *catalog.Endpoint) { e.Started = 6 })}, time.Second, true},
		{"starts again at another address", running, []catalog.Endpoint{change(func(e *catalog.Endpoint) { e.Address = "b" })}, time.Second, true},
		{"drains", running, []catalog.Endpoint{draining}, time.Second, false},
		{"drained before", draining, []catalog.Endpoint{other}, time.Second, false},
		{"was not listed any more", other, []catalog.Endpoint{other}, time.Second, false},
		{"the list is not known", running, nil, time.Second, false},
	} {
		var u Interruptions
		u.Add(Interruption{Endpoint: change(func(e *catalog.Endpoint) { e.Draining = tc.before.Draining }), Traits: []Trait{bad}, At: testStart}, []catalog.Endpoint{tc.before})
		deaths := u.Explain(tc.after, testStart.Add(tc.delay))
		if dead := len(deaths) == 1; dead != tc.dead || dead && !deaths[0].At.Equal(testStart) {
			t.Errorf("%s: deaths %+v", tc.desc, deaths)
		}
	}
	var u Interruptions
	for i := range maxInterruptions + 1 {
		e := catalog.Endpoint{ID: fmt.Sprint(i)}
		u.Add(Interruption{Endpoint: e, At: testStart}, []catalog.Endpoint{e})
	}
	if u.Len() != maxInterruptions {
		t.Errorf("%d interruptions are kept", u.Len())
	}
	stillListed := make([]catalog.Endpoint, 0, maxInterruptions)
	for i := range maxInterruptions + 1 {
		stillListed = append(stillListed, catalog.Endpoint{ID: fmt.Sprint(i)})
	}
	if deaths := u.Explain(stillListed, testStart.Add(disappearanceWindow)); len(deaths) > 0 || u.Len() != maxInterruptions {
		t.Errorf("%d deaths, %d interruptions", len(deaths), u.Len())
	}
	if u.Explain(stillListed, testStart.Add(disappearanceWindow+1)); u.Len() > 0 {
		t.Errorf("%d interruptions are kept for good", u.Len())
	}
	if deaths := u.Explain(slices.Clone(stillListed[:1]), testStart.Add(time.Hour)); len(deaths) > 0 {
		t.Errorf("an endpoint that leaves later: %+v", deaths)
	}
}
