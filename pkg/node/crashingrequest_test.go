package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// crashesToRefuse is the number of crashes after which a request must be known.
const crashesToRefuse = 3

// sendBooking sends a request that may run once and reports whether it was served.
func (m *member) sendBooking(path string, number int) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.callers+path, strings.NewReader("booking"))
	if err != nil {
		m.f.t.Error(err)
		return false
	}
	req.Host = machines.Host
	req.Header.Set("Authorization", machines.KeyScheme+machines.APIKey)
	req.Header.Set(machines.HeaderRequestID, fmt.Sprint("booking", number))
	req.Header.Set(machines.HeaderDeadline, "5000")
	resp, err := m.f.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against a request without a prompt that crashes endpoint after endpoint.
func TestCrashingBookingIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.PutPrepaidConfig(2, 100_000_000, "book")
	f.store.Remove(machines.ServersPrefix + f.runner.ID)
	runners := machines.NewCrashingRunners(f.store, machines.Answer(http.StatusOK, "done"))
	f.t.Cleanup(runners.Close)
	for range 4 {
		if err := runners.Start("z"); err != nil {
			t.Fatal(err)
		}
	}
	members := []*member{f.start("a"), f.start("b"), f.start("c")}
	f.waitUntil("all are listed", func() bool { return f.store.Count("instances/") == len(members) })
	time.Sleep(1500 * time.Millisecond) // until all instances have read the lists
	number := 0
	isOver := func() bool {
		crashes := runners.Crashes()
		return len(crashes) >= crashesToRefuse && time.Since(crashes[crashesToRefuse-1]) > 2*contactWindow
	}
	for !isOver() && number < 200 {
		members[number%len(members)].sendBooking("/book"+machines.CrashingPath, number)
		number++
		time.Sleep(500 * time.Millisecond)
	}
	crashes := runners.Crashes()
	if len(crashes) < crashesToRefuse {
		t.Fatalf("%d crashes of %d requests", len(crashes), number)
	}
	if n := runners.ArrivalsAfter(crashes[crashesToRefuse-1].Add(contactWindow)); n > maxLateArrivals {
		t.Errorf("%d of %d equal requests reached runners later than %s after the third crash, %d crashes", n, number, contactWindow, len(crashes))
	}
	if !members[0].sendBooking("/book/other", number) {
		t.Error("another booking is not served")
	}
}
