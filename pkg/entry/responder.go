package entry

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

const (
	eventStream = "text/event-stream"
	// writeGrace lets the error of a passed deadline reach a slow caller.
	writeGrace = 5 * time.Second
)

// responder writes the answer of one request to its caller. It is used by the
// goroutine of the request only.
type responder struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string // of the request; empty until it is known
	events  bool   // the answer is a stream of events
	begun   bool
	written int
}

func newResponder(w http.ResponseWriter) *responder {
	return &responder{w: w, control: http.NewResponseController(w)}
}

// readDeadline bounds reads from the caller; a writer that does not support
// deadlines has none.
func (o *responder) readDeadline(t time.Time) { _ = o.control.SetReadDeadline(t) }

func (o *responder) writeDeadline(t time.Time) { _ = o.control.SetWriteDeadline(t) }

// begin sends the header. A negative length means that it is not known.
func (o *responder) begin(status int, header http.Header, length int) {
	o.begun = true
	maps.Copy(o.w.Header(), header)
	o.setID()
	if length >= 0 {
		o.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	o.events = header.Get("Content-Type") == eventStream
	if o.events {
		o.w.Header().Set("Cache-Control", "no-store")
	}
	o.w.WriteHeader(status)
}

func (o *responder) setID() {
	if o.id != "" {
		o.w.Header().Set(idHeader, o.id)
	}
}

// Write sends a part of the body at once.
func (o *responder) Write(part []byte) (int, error) {
	n, err := o.w.Write(part)
	o.written += n
	if err == nil {
		err = o.control.Flush()
	}
	return n, err
}

// fail tells the caller about an error. It reports whether the connection must
// be aborted, because the error cannot be told in any other way.
func (o *responder) fail(err *failure.Error) (abort bool) {
	switch {
	case !o.begun:
		o.setID()
		failure.Write(o.w, err)
		return false
	case !o.events:
		return true
	}
	problem, _ := json.Marshal(failure.ProblemOf(err)) // a struct of strings always encodes
	_, werr := o.Write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", problem))
	return werr != nil
}
