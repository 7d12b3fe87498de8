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
	eventStreamType = "text/event-stream"
	// errorWriteTimeout is how long after its deadline a request may write the
	// error to a slow caller.
	errorWriteTimeout = 5 * time.Second
)

// responder writes the answer of one request to its caller. Only the goroutine of
// the request may use it.
type responder struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	requestID     string // empty until it is known
	isEventStream bool
	headerSent    bool
	writtenBytes  int
}

func newResponder(w http.ResponseWriter) *responder {
	return &responder{w: w, controller: http.NewResponseController(w)}
}

// setReadDeadline bounds reads from the caller. It has no effect if the writer
// does not support deadlines.
func (o *responder) setReadDeadline(t time.Time) { _ = o.controller.SetReadDeadline(t) }

func (o *responder) setWriteDeadline(t time.Time) { _ = o.controller.SetWriteDeadline(t) }

// writeHeader sends the status and the header. A negative length means that the
// length of the body is not known.
func (o *responder) writeHeader(status int, header http.Header, length int) {
	o.headerSent = true
	maps.Copy(o.w.Header(), header)
	o.setIDHeader()
	if length >= 0 {
		o.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	o.isEventStream = header.Get("Content-Type") == eventStreamType
	if o.isEventStream {
		o.w.Header().Set("Cache-Control", "no-store")
	}
	o.w.WriteHeader(status)
}

func (o *responder) setIDHeader() {
	if o.requestID != "" {
		o.w.Header().Set(idHeader, o.requestID)
	}
}

// Write sends a part of the body and flushes it.
func (o *responder) Write(part []byte) (int, error) {
	n, err := o.w.Write(part)
	o.writtenBytes += n
	if err == nil {
		err = o.controller.Flush()
	}
	return n, err
}

// writeError sends an error to the caller. It reports whether the response is whole with it:
// after the header only an event stream has room for an error.
func (o *responder) writeError(err *failure.Error) (whole bool) {
	switch {
	case !o.headerSent:
		o.setIDHeader()
		failure.Write(o.w, err)
		return true
	case !o.isEventStream:
		return false
	}
	problem, _ := json.Marshal(failure.ProblemOf(err)) // a struct of strings cannot fail to encode
	_, werr := o.Write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", problem))
	return werr == nil
}
