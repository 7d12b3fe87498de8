package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	statedMemoryBytes = 134 << 20 // of an instance
	// goMemoryBytes is the part of it that platform.Run gives to the Go runtime.
	goMemoryBytes   = statedMemoryBytes * 6 / 10
	endlessRequests = 200
)

// Guards against endpoints that send without end and use up the memory of the instance, and with it the requests of others.
func TestEndlessAnswersLeaveMemoryForOthers(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(goMemoryBytes))
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	longBody, longEvent := strings.Repeat("sound ", 20_000), "id: 1\ndata: "+strings.Repeat("x", 40_000)+"\n\n"
	faulty := map[string][]machines.Script{"all kinds": nil}
	for desc, script := range machines.EndlessAnswers() {
		faulty[desc] = slices.Repeat([]machines.Script{script}, 4)
		faulty["all kinds"] = append(faulty["all kinds"], script)
	}
	for desc, scripts := range faulty {
		t.Run(desc, func(t *testing.T) {
			g := newTestGateway(t, func(q *http.Request, b []byte, c net.Conn) bool {
				if strings.HasPrefix(q.URL.Path, "/once/") {
					_ = framedStream("chunks", longEvent+eventRange(2, 9))(q, b, c)
					return true
				}
				return machines.Answer(200, longBody)(q, b, c)
			})
			g.addFaultyEndpoints(scripts)
			usage := machines.WatchMemory()
			var callers sync.WaitGroup
			for i := range endlessRequests {
				path := []string{"/faulty-book/", "/faulty-look/", "/faulty-once/", "/faulty-chat/"}[i%4]
				req := g.newRequest(fmt.Sprintf("%s%d", path, i), "body", fmt.Sprintf("%s: f%d", machines.HeaderRequestID, i), machines.HeaderDeadline+": 1000")
				callers.Go(func() {
					if status, err := g.sendAndDiscard(req); err == nil && status < 400 {
						t.Errorf("an answer without end counts as complete, status %d", status)
					}
				})
			}
			begun, sent := time.Now(), 0
			for ; time.Since(begun) < time.Second; sent++ {
				path, want := "/book/", longBody
				if sent%2 == 1 {
					path, want = "/once/", longEvent+eventRange(2, 9)
				}
				got := g.send(g.newRequest(fmt.Sprintf("%s%d", path, sent), "body"))
				if got.status != 200 || got.body != want || got.err != nil {
					t.Errorf("sound request %d: status %d, %d bytes, %v", sent, got.status, len(got.body), got.err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			callers.Wait()
			for g.gateway.InFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			peak := usage()
			if used := g.sender.MemoryUsed(); used != 0 {
				t.Errorf("%d bytes of the budget were not given back", used)
			}
			t.Logf("%s: at most %d MiB, %d sound requests", t.Name(), peak>>20, sent)
			if peak > goMemoryBytes {
				t.Errorf("%d MiB were used, the instance has %d", peak>>20, goMemoryBytes>>20)
			}
		})
	}
}

// addFaultyEndpoints adds routes /faulty-NAME/ beside the routes /NAME/, of a service with a
// runner for each script.
func (g *testGateway) addFaultyEndpoints(scripts []machines.Script) {
	g.doc.Services = append(g.doc.Services, catalog.Service{Name: "faulty"})
	for _, x := range g.doc.Routes {
		x.Name, x.Prefix, x.Targets = "faulty-"+x.Name, "/faulty-"+x.Name+"/", []catalog.Target{{Service: "faulty", Weight: 1}}
		g.doc.Routes = append(g.doc.Routes, x)
	}
	list := catalog.EndpointList{Revision: 2}
	for _, r := range g.runners {
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: r.ID, Service: "s", Address: r.Address(), Domain: "z"})
	}
	for i, script := range scripts {
		r, err := machines.StartRunner(fmt.Sprintf("faulty%d", i), script)
		if err != nil {
			g.t.Fatal(err)
		}
		g.t.Cleanup(r.Close)
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: r.ID, Service: "faulty", Address: r.Address(), Domain: "z"})
	}
	g.pool.Update(list, time.Now())
	g.startGateway()
}

// sendAndDiscard sends a request and reads the response without keeping it.
func (g *testGateway) sendAndDiscard(req *http.Request) (status int, err error) {
	resp, err := g.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
