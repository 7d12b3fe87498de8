package entry

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// endlessStreams returns scripts of numbered events without end.
func endlessStreams() map[string]machines.Script {
	text := bytes.Repeat([]byte("x"), 200<<10)
	stream := func(number func(i int) int, before, after string) machines.Script {
		return func(q *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, machines.ResponseHead(q, 200, "Content-Type: text/event-stream", "Connection: close"))
			for i := 1; err == nil; i++ {
				_, err = (&net.Buffers{fmt.Appendf(nil, "id: %d\ndata: %s", number(i), before), text, []byte(after + "\n\n")}).WriteTo(c)
				time.Sleep(50 * time.Millisecond)
			}
			return false
		}
	}
	inOrder := func(i int) int { return i }
	return map[string]machines.Script{
		"content":         stream(inOrder, `{"choices":[{"delta":{"content":"`, `"}}]}`),
		"no content":      stream(inOrder, `{"x":"`, `"}`),
		"a missing event": stream(func(i int) int { return 2 + i%15 }, `{"x":"`, `"}`),
		"repeated events": stream(func(int) int { return 1 }, `{"x":"`, `"}`),
	}
}

// Guards against endpoints that send without end and use up the memory of the instance, and with it the requests of others.
func TestEndlessAnswersLeaveMemoryForOthers(t *testing.T) {
	const goMemoryBytes = 134 << 20 * 6 / 10 // of the Go runtime on a small instance
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(goMemoryBytes))
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	scripts := machines.EndlessAnswers()
	for desc, script := range endlessStreams() {
		scripts["stream with "+desc] = script
	}
	longBody, wholeStream := strings.Repeat("sound ", 20_000), eventText(1, 4)+"data: [DONE]\n\n"
	for desc, script := range scripts {
		t.Run(desc, func(t *testing.T) {
			f := newRawFixture(t, script)
			f.addSoundServices(func(q *http.Request, _ []byte, c net.Conn) bool {
				body := longBody
				if q.URL.Path == chatPath {
					body = wholeStream
				}
				return writeAnswer(c, 200, q.Header.Get("X-Request-Id"), body)
			})
			usage := machines.WatchMemory()
			var callers sync.WaitGroup
			for i := range 50 {
				for name, call := range rawCalls {
					req := f.newRequest(t.Context(), call.method, call.path, call.body, fmt.Sprintf("%s: %s%d", keyHeader, name, i))
					callers.Go(func() {
						if status, body, err := f.sendAndSkim(req); err == nil && status < 400 && !strings.Contains(body, "event: error") {
							t.Errorf("%s: an answer without end counts as complete: status %d, %q", req.URL.Path, status, body)
						}
					})
				}
			}
			begun, sent := time.Now(), 0
			for ; time.Since(begun) < time.Second; sent++ {
				got := f.send("GET", appPrefix+"sound-rounds/x", "")
				if got.status != 200 || got.body != longBody || got.err != nil {
					t.Errorf("sound request %d: status %d, %d bytes, %v", sent, got.status, len(got.body), got.err)
				}
				got = f.send("POST", chatPath, strings.Replace(chatBody, "llm", "sound-llm", 1))
				if got.status != 200 || got.body != wholeStream || got.err != nil {
					t.Errorf("sound stream %d: %+v", sent, got)
				}
				time.Sleep(5 * time.Millisecond)
			}
			callers.Wait()
			peak := usage()
			f.drain()
			if used := f.opts.Relay.Budget().Used(); used != 0 {
				t.Errorf("%d bytes of the budget were not given back", used)
			}
			t.Logf("%s: at most %d MiB, %d sound requests", t.Name(), peak>>20, 2*sent)
			if peak > goMemoryBytes {
				t.Errorf("%d MiB were used, the instance has %d", peak>>20, goMemoryBytes>>20)
			}
		})
	}
}

// addSoundServices adds a service with the prefix "sound-" for each service, with an endpoint
// that runs script. It lists the endpoint of the others four times and shortens their timeouts.
func (f *fixture) addSoundServices(script machines.Script) {
	runner, err := machines.StartRunner("sound", script)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(runner.Close)
	for i := range f.doc.Services {
		sound := f.doc.Services[i]
		sound.Name, sound.Endpoints = "sound-"+sound.Name, []config.Endpoint{{ID: "sound", Domain: "yaba", Address: runner.Address()}}
		f.doc.Services = append(f.doc.Services, sound)
		faulty := &f.doc.Services[i]
		faulty.Timeout = time.Second
		for id := range 3 {
			faulty.Endpoints = append(faulty.Endpoints, config.Endpoint{ID: fmt.Sprintf("more%d", id), Domain: "yaba", Address: faulty.Endpoints[0].Address})
		}
	}
	f.pool.Update(f.doc)
}

// sendAndSkim sends a request and keeps only a part of the response at its end.
func (f *fixture) sendAndSkim(req *http.Request) (status int, tail string, err error) {
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	last, buf := 0, make([]byte, 4<<10)
	for err == nil {
		var n int
		if n, err = resp.Body.Read(buf[min(last, 1<<10):]); n > 0 {
			last = copy(buf, buf[max(0, min(last, 1<<10)+n-1<<10):min(last, 1<<10)+n])
		}
	}
	if err == io.EOF {
		err = nil
	}
	return resp.StatusCode, string(buf[:last]), err
}
