package abort

import (
	"net"
	"net/http"
)

// State says how far a response has got.
type State string

// Values of State.
const (
	// Untouched means that nothing was written.
	Untouched State = "untouched"
	// Partial means that the response was begun and is not known to be whole.
	Partial State = "partial"
	// Whole means that the handler has written all of it.
	Whole State = "whole"
)

// Writer is the http.ResponseWriter of one request that knows how far its response has got.
// Without it, net/http ends a response as a whole one whenever its handler returns: untouched,
// it becomes an empty success. Only the goroutine of the handler may use it.
type Writer struct {
	http.ResponseWriter
	// conn is the connection of an HTTP/1.0 request, else nil: a body without a length ends
	// there when the connection is closed.
	conn                     *net.TCPConn
	begun, failed, completed bool
}

// NewWriter returns a writer of the response w to r. The handler must defer End before
// anything else, and its server must have ConnContext.
func NewWriter(w http.ResponseWriter, r *http.Request) *Writer {
	response := &Writer{ResponseWriter: w}
	if !r.ProtoAtLeast(1, 1) {
		response.conn = tcpConn(r)
	}
	return response
}

// begin records that the response has begun. Until it is whole, any end of an HTTP/1.0
// connection is a reset, also that by the end of the server or of the process.
func (w *Writer) begin() {
	if !w.begun && w.conn != nil {
		_ = w.conn.SetLinger(resetOnClose) // fails only on a closed connection
	}
	w.begun = true
}

// End ends the response when the handler returns or panics. One that is not whole is aborted
// by a panic with http.ErrAbortHandler, or that of the handler, such that the caller can tell
// it from a complete one. It must be deferred itself, not be called by a deferred function.
func (w *Writer) End() {
	cause := recover()
	if cause == nil && w.State() == Whole {
		if w.conn != nil {
			_ = w.conn.SetLinger(finishOnClose) // fails only on a closed connection
		}
		return
	}
	if w.conn != nil {
		_ = w.conn.Close() // before TLS can end properly
	}
	if cause == nil {
		cause = http.ErrAbortHandler
	}
	panic(cause)
}

// Unwrap returns the original writer for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. After an error the response cannot become whole.
func (w *Writer) Write(p []byte) (int, error) {
	w.begin()
	n, err := w.ResponseWriter.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}

// FlushError sends what was written, for http.ResponseController. After an error the
// response cannot become whole.
func (w *Writer) FlushError() error {
	w.begin()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.failed = w.failed || err != nil
	return err
}

// Complete declares that all of the response was written. Without it the response is aborted.
func (w *Writer) Complete() { w.completed = true }

// State returns how far the response has got.
func (w *Writer) State() State {
	switch {
	case !w.begun:
		return Untouched
	case w.completed && !w.failed:
		return Whole
	}
	return Partial
}
