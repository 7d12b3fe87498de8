package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// pieces returns a script that sends the pieces of a stream as they are, with pauses, and
// then closes the connection.
func pieces(texts ...string) machines.Script {
	return func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Type: text/event-stream", "Connection: close"))
		for _, text := range texts {
			_, _ = io.WriteString(c, text)
			time.Sleep(2 * time.Millisecond)
		}
		return false
	}
}

// Guards against bytes of a sound stream that are dropped or held back because of its line ends.
func TestEventsEndAtAnyEmptyLine(t *testing.T) {
	lf := eventRange(1, 3)
	crlf, cr := strings.ReplaceAll(lf, "\n", "\r\n"), strings.ReplaceAll(lf, "\n", "\r")
	for desc, texts := range map[string][]string{
		"LF": {lf}, "CR LF": {crlf}, "CR": {cr},
		"a byte at a time":                   strings.Split(crlf, ""),
		"two empty lines":                    {"id: 1\ndata: x\n\n\nid: 2\ndata: y\n\n\n"},
		"two empty lines in two pieces":      {"id: 1\ndata: x\n\n", "\nid: 2\ndata: y\n\n", "\n"},
		"CR LF in two pieces after an event": {"id: 1\r\ndata: x\r\n\r", "\nid: 2\r\ndata: y\r\n\r\n"},
		"a new version of the weights":       {"x-weight-versions: 3\nid: 1\ndata: x\n\nid: 2\ndata\n\nid: 3\nretry: 1\nevent: e\ndata: y\ndata: z\n\n"},
		"comments":                           {": begin\n\n", lf, ": end\n\n", ": end\n"},
	} {
		t.Run(desc, func(t *testing.T) {
			g := newTestGateway(t, pieces(texts...))
			if got := g.send(g.newRequest("/once/1", "body")); got.err != nil || got.body != strings.Join(texts, "") {
				t.Errorf("body %q, %v", got.body, got.err)
			}
		})
	}
}

// Guards against an event with CR LF that waits for the end of its stream.
func TestEventsWithCRLFAreForwardedAsTheyArrive(t *testing.T) {
	event := "id: 1\r\ndata: x\r\n\r\n"
	release := make(chan struct{})
	g := newTestGateway(t, func(q *http.Request, b []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Type: text/event-stream", "Connection: close")+event)
		<-release
		return false
	})
	resp, err := g.client.Do(g.newRequest("/once/1", "body"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := make([]byte, len(event))
	_, err = io.ReadFull(resp.Body, got)
	close(release)
	if err != nil || string(got) != event {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a resumable stream that is given up because of a comment or a further empty line.
func TestCommentsDoNotPreventResumption(t *testing.T) {
	first := ": keep-alive\n\n" + eventRange(1, 2) + "\n"
	g := newTestGateway(t, cutAfter(first), cutAfter(first))
	for _, runner := range g.runners {
		runner.SetScript(func(q *http.Request, b []byte, c net.Conn) bool {
			if q.Header.Get(machines.HeaderLastEventID) == "2" {
				return machines.Stream(3, 5, true)(q, b, c)
			}
			return cutAfter(first)(q, b, c)
		})
	}
	if got := g.send(g.newRequest("/chat/1", "body")); got.err != nil || got.body != first+eventRange(3, 5) {
		t.Errorf("body %q, %v", got.body, got.err)
	}
}

// cutAfter returns a script that sends a part of a stream in a chunk and cuts the next one.
func cutAfter(text string) machines.Script {
	return func(q *http.Request, _ []byte, c net.Conn) bool {
		_, framed := framings["chunks"](text)
		_, _ = io.WriteString(c, streamHead(q)+strings.TrimSuffix(framed, "0\r\n\r\n")+"9\r\nid: ")
		return false
	}
}

// Guards against a body that is no stream of events and is taken for an interrupted one.
func TestOtherBodiesOnStreamRoutes(t *testing.T) {
	g := newTestGateway(t, func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Type: application/json", "Connection: close")+"{}")
		return false
	})
	if got := g.send(g.newRequest("/once/1", "body")); got.err != nil || got.body != "{}" {
		t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
	}
}
