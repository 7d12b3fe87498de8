package probe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// startEndpoint starts an endpoint and returns its address and the number of its
// connections. It drains if draining is set, repeats the IDs of probes if names is set,
// and sends a copy of its latest report before the next one if copies is set.
func startEndpoint(t *testing.T, names, copies bool, draining *atomic.Bool) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections atomic.Int64
	var wg sync.WaitGroup
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		latest := ""
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if copies && latest != "" {
				_, _ = io.WriteString(c, latest)
				time.Sleep(5 * time.Millisecond)
			}
			body, field := fmt.Sprintf(`{"running":1,"draining":%v,"incarnation":"i"}`, draining.Load()), ""
			if names {
				field = "X-Request-Id: " + q.Header.Get("X-Request-Id") + "\r\n"
			}
			latest = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", field, len(body), body)
			_, _ = io.WriteString(c, latest)
		}
	}
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			wg.Go(func() { serve(c) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); wg.Wait() })
	return l.Addr().String(), &connections
}

// Guards against the copy of an earlier report that hides that the endpoint drains.
func TestCopiedReportIsNotTheAnswerToTheNextProbe(t *testing.T) {
	for _, names := range []bool{true, false} {
		var draining atomic.Bool
		address, _ := startEndpoint(t, names, true, &draining)
		client := newClient(Options{Instance: "test"})
		for i := range 8 {
			draining.Store(i%4 >= 2)
			load, err := client.fetchLoad(context.Background(), config.Endpoint{ID: "e", Address: address}, config.AppService)
			if err != nil {
				t.Fatal(err)
			}
			if load.Draining != draining.Load() {
				t.Errorf("names %v, probe %d: %+v", names, i, load)
			}
		}
		client.close()
	}
}

// Guards against a new connection for each probe of an endpoint that names the probe in its report.
func TestConnectionIsKeptForReportsWithID(t *testing.T) {
	address, connections := startEndpoint(t, true, false, &atomic.Bool{})
	client := newClient(Options{Instance: "test"})
	for range 10 {
		if _, err := client.fetchLoad(context.Background(), config.Endpoint{ID: "e", Address: address}, config.AppService); err != nil {
			t.Fatal(err)
		}
	}
	client.close()
	if n := connections.Load(); n > 2 {
		t.Errorf("%d connections for 10 probes", n)
	}
}
