package ingress

import (
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLarge means that a body exceeds the limit.
	ErrTooLarge = errors.New("the body exceeds the limit")
	// ErrNoMemory means that bodies take all the memory that they may take.
	ErrNoMemory = errors.New("no memory is left for the body")
	// ErrSlow means that a body made no progress or was not complete at its deadline.
	ErrSlow = errors.New("the body did not arrive in time")
)

const (
	// firstBodyBytes is the most that is reserved for a body before it arrives.
	firstBodyBytes = 16 << 10
	// minBodyBytes is the first buffer for a body of unknown length.
	minBodyBytes = 512
	// yieldBytes is how much of a body is read before other requests get the processor. A body
	// in small chunks takes much of it.
	yieldBytes = 32 << 10
	// lingerTimeout bounds how long a caller whose body is refused may go on sending until it
	// notices the answer.
	lingerTimeout = time.Second
)

// ReadBody reads a whole body of at most limit bytes until deadline. After an error, the answer
// to the request ends its connection. What the body takes is returned at the end of the request.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	for { // only the writer of the server keeps a connection open until its answer has arrived
		wrapped, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			break
		}
		w = wrapped.Unwrap()
	}
	c := fromContext(r.Context())
	body, err := c.readBody(w, r, limit, deadline)
	if err != nil {
		c.refuse(w)
	}
	return body, err
}

func (c *Conn) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	size, largest := min(minBodyBytes, limit), limit
	if r.ContentLength > 0 {
		largest = r.ContentLength
		size = min(largest, firstBodyBytes)
	}
	if !c.beginBody(deadline) || !c.take(size) {
		return nil, c.bodyError(ErrNoMemory)
	}
	buf, src, yielded := make([]byte, 0, size), http.MaxBytesReader(w, r.Body, limit), c.receivedBytes()
	for {
		free := buf[len(buf):cap(buf)]
		if len(free) == 0 {
			free = make([]byte, 1) // for the end of a body of the largest size
		}
		n, err := src.Read(free)
		if n > cap(buf)-len(buf) {
			return nil, ErrTooLarge
		}
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			break
		}
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			return nil, ErrTooLarge
		}
		if err != nil {
			return nil, c.bodyError(err)
		}
		if len(buf) == cap(buf) && int64(cap(buf)) < largest {
			grown := min(2*int64(cap(buf)), largest)
			if !c.take(grown) {
				return nil, c.bodyError(ErrNoMemory)
			}
			old := cap(buf)
			buf = append(make([]byte, 0, grown), buf...)
			c.giveBack(old)
		}
		if received := c.receivedBytes(); received-yielded > yieldBytes {
			yielded = received
			runtime.Gosched()
		}
	}
	if !c.endBody() {
		return nil, c.bodyError(ErrNoMemory)
	}
	return buf, nil
}

// beginBody starts to read a body. It reports false if the guard has ended the connection.
func (c *Conn) beginBody(deadline time.Time) bool {
	if c == nil {
		return true
	}
	if !deadline.IsZero() {
		c.account.deadline.Store(int64(deadline.Sub(started)))
	}
	return c.account.move(running, inBody)
}

// endBody is called after the end of a body. It reports false if the guard has ended the
// connection.
func (c *Conn) endBody() bool {
	if c == nil {
		return true
	}
	c.bodyRead = true
	return c.account.move(inBody, running)
}

// receivedBytes returns how many bytes have arrived on the connection.
func (c *Conn) receivedBytes() int64 {
	if c == nil {
		return 0
	}
	return c.account.received.Load()
}

// take takes n bytes from the guard.
func (c *Conn) take(n int64) bool {
	if c == nil {
		return true
	}
	ok, victims := c.gate.guard.take(c.account, n, time.Now())
	c.gate.endAll(victims)
	if !ok {
		c.gate.count(Memory)
	}
	return ok
}

func (c *Conn) giveBack(n int) {
	if c != nil {
		c.gate.guard.giveBack(c.account, int64(n))
	}
}

// bodyError returns the error of a body that the guard has ended, or else err.
func (c *Conn) bodyError(err error) error {
	if c == nil {
		return err
	}
	switch cause, _ := c.gate.guard.ending(c.account); cause {
	case "":
		return err
	case SlowBody:
		return ErrSlow
	default:
		return ErrNoMemory
	}
}

// refuse prepares the answer to a request whose body was not read.
func (c *Conn) refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if c == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout)) // not all writers support it
		return
	}
	c.gate.guard.releaseAll(c.account)
	if c.account.move(inBody, refused) || c.account.move(running, refused) {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection
	}
}
