package clients

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

// startDaemon starts a process of clementinerackd with its stand-ins. It has the Go memory limit
// that platform.Run gives to an entry of memoryMB.
func startDaemon(t *testing.T) *instance {
	t.Setenv("GOMEMLIMIT", strconv.Itoa(memoryMB<<20*6/10))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Options{Bin: binaries, Domains: []string{"a"}, InstancesPerDomain: 1,
		TokenInterval: 20 * time.Millisecond, Slots: 32, Budget: 1_000_000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	at := f.Instances[0]
	n := &instance{t: t, callers: at.Callers, exited: make(chan struct{})}
	if n.process, err = os.FindProcess(at.Process.ID()); err != nil {
		t.Fatal(err)
	}
	n.newHead = func(string) string {
		return "POST /v1/apps/" + fleet.AppService + "/bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + fleet.WorkspaceKey + "\r\n"
	}
	n.serve = func() error {
		ctx, cancel := context.WithTimeout(context.Background(), sendPatience)
		defer cancel()
		answer, err := fleet.Call(ctx, at.Callers, http.MethodGet, "/v1/apps/"+fleet.AppService+"/addresses", nil)
		if at.HasEnded() {
			return fmt.Errorf("the process has ended")
		}
		if err == nil && answer.Status != http.StatusOK {
			err = fmt.Errorf("status %d, %s", answer.Status, answer.Body)
		}
		return err
	}
	n.watch()
	return n
}

// Guards against a process of clementinerackd that holds all that callers send.
func TestDaemonAmongBodiesThatStopShort(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		part  string
		times int
	}{{"large chunks", largeChunk, 7}, {"one-byte chunks", tinyChunks, 256}, {"over the limit", largeChunk, 64}} {
		t.Run(tc.desc, func(t *testing.T) {
			n := startDaemon(t)
			n.crowd(largeCrowd, func(c net.Conn) error { return send(c, n.head("", chunked), tc.part, tc.times) })
			n.check()
		})
	}
}
