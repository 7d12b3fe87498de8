package machines

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"time"
)

const (
	pieceBytes      = 32 << 10              // of a body without end
	endlessInterval = 20 * time.Millisecond // between the pieces
)

// Endlessly returns a script that sends begin and then next again and again, until the
// connection is closed.
func Endlessly(begin func(*http.Request) string, next string) Script {
	piece := []byte(next)
	return func(q *http.Request, _ []byte, c net.Conn) bool {
		_, err := io.WriteString(c, begin(q))
		for ; err == nil; time.Sleep(endlessInterval) {
			_, err = c.Write(piece)
		}
		return false
	}
}

// EndlessAnswers returns scripts of answers without end.
func EndlessAnswers() map[string]Script {
	const almostAHead = 60 << 10
	none := func(*http.Request) string { return "" }
	open := func(lines ...string) func(*http.Request) string { // a head without its last line end
		return func(q *http.Request) string {
			return strings.TrimSuffix(ResponseHead(q, 200, lines...), "\r\n\r\n")
		}
	}
	body := func(lines ...string) func(*http.Request) string { return open(append(lines, "\r\n")...) }
	const json, events, chunked, closes = "Content-Type: application/json", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Connection: close"
	var fields strings.Builder
	for i := 0; fields.Len() < almostAHead; i++ {
		fmt.Fprintf(&fields, "\r\nF%x:", i)
	}
	piece := strings.Repeat("x", pieceBytes)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, piece)
	return map[string]Script{
		"status line":     Endlessly(func(*http.Request) string { return "HTTP/1.1 200 " + strings.Repeat("x", almostAHead) }, "x"),
		"field":           Endlessly(open("X: "+strings.Repeat("x", almostAHead)), "x"),
		"fields":          Endlessly(open("X: "+fields.String()), "\r\nf:"),
		"interim answers": Endlessly(none, "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", almostAHead)+"\r\n\r\n"),
		"no HTTP":         Endlessly(none, piece),
		"chunks":          Endlessly(body(json, chunked), chunk),
		"tiny chunks":     Endlessly(body(json, chunked), strings.Repeat("1\r\nx\r\n", pieceBytes/6)),
		"chunk extension": Endlessly(open(json, chunked, "\r\n5;x="), piece),
		"trailer":         Endlessly(open(json, chunked, "\r\n0\r\nx: "), piece),
		"length":          Endlessly(body(json, "Content-Length: 9000000000"), piece),
		"no framing":      Endlessly(body(json, closes), piece),
		"error":           Endlessly(func(q *http.Request) string { return ResponseHead(q, 500, chunked) }, chunk),
		"refusal": Endlessly(func(*http.Request) string {
			return "HTTP/1.1 503 Busy\r\n" + HeaderNotExecuted + ": 1\r\n" + chunked + "\r\n\r\n"
		}, chunk),
		"event":          Endlessly(body(events, closes), piece),
		"event of lines": Endlessly(body(events, closes), strings.Repeat("data:\n", pieceBytes/6)),
		"comments":       Endlessly(body(events, closes), strings.Repeat(": x\n", pieceBytes/4)),
		"comment events": Endlessly(body(events, closes), strings.Repeat(": x\n\n", pieceBytes/5)),
	}
}

// WatchMemory measures the memory of the Go runtime until the returned function is called,
// which returns the largest value in bytes.
func WatchMemory() func() uint64 {
	debug.FreeOSMemory()
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
		highest := uint64(0)
		for ticker := time.NewTicker(2 * time.Millisecond); ; {
			metrics.Read(samples)
			highest = max(highest, samples[0].Value.Uint64()-samples[1].Value.Uint64())
			select {
			case <-stop:
				ticker.Stop()
				peak <- highest
				return
			case <-ticker.C:
			}
		}
	}()
	return func() uint64 { close(stop); return <-peak }
}
