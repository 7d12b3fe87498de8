package upstream

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/membudget"
	"github.com/clementinerack/clementinerack/pkg/splice"
)

var (
	// ErrTooLarge means that the body of a response exceeds a limit, or what the budget of
	// all responses has left for it.
	ErrTooLarge = errors.New("response body exceeds the limit")
	// ErrNoMemory means that the budget of all responses has too little left for a head.
	ErrNoMemory = errors.New("no memory is left for the head of a response")
	// ErrStatus means that the status of a response is none of a final one, which are 200 to 599.
	ErrStatus = errors.New("the status is none of a final response")
	// ErrRequestCut means that the connection of a body that ends with it failed while the
	// request was written. The system reports such a failure to the writer or to the reader:
	// the reader may see the end of the connection in its place.
	ErrRequestCut = errors.New("the connection failed while the request was written, so that its end does not show that of the body")
	// ErrHeadTooLarge means that the head of a response exceeds
	// limits.ResponseHeadBytes: the endpoint
	// sends something else than a response.
	ErrHeadTooLarge = errors.New("response head exceeds the limit")
)

// unlimited is the value of conn.headBytesLeft while no head is read.
const unlimited = -1

// Response is the response of an endpoint. Its body is read as it arrives. It must
// be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	// EndsWithConnection means that the body has neither a length nor chunks: it ends
	// when the endpoint closes the connection.
	EndsWithConnection bool
	// Reused means that the connection has carried an earlier request. Skipped is the
	// number of responses to other requests that arrived on it before this one.
	Reused  bool
	Skipped int

	resp     *http.Response
	exchange *exchange
	memory   *membudget.Account
	refused  bool  // set by MarkRefused
	released bool  // by releaseConn
	err      error // of an earlier Read, after which the connection may look ended
}

func newResponse(resp *http.Response, x *exchange) *Response {
	if resp.ContentLength > 0 {
		resp.Body = splice.NewBody(resp.Body, x.conn.buffered)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, resp: resp, exchange: x,
		Reused: x.conn.reused, memory: x.conn.memory,
		EndsWithConnection: splice.EndsWithConnection(resp)}
}

// Read implements io.Reader for the body. It returns io.EOF only at the end of a
// complete body. The connection can then be reused.
func (r *Response) Read(p []byte) (int, error) {
	switch {
	case r.released:
		return 0, io.EOF // another request may use the connection
	case r.err != nil:
		return 0, r.err
	}
	n, err := r.resp.Body.Read(p)
	if err == io.EOF && r.EndsWithConnection {
		if writeErr := r.exchange.stopWriting(); writeErr != nil {
			err = errors.Wrap(ErrRequestCut, writeErr.Error())
		}
	}
	if err == io.EOF {
		r.releaseConn()
	} else {
		r.err = err
	}
	return n, err
}

// MarkRefused records that the endpoint refused the request, whatever the status: the request
// is not sent again on this connection. It must be called before the end of the body is read.
func (r *Response) MarkRefused() { r.refused = true }

// releaseConn ends the exchange after the end of the body. The connection is reused
// if the end of the body did not depend on the end of the connection, if the
// endpoint allows it, and if it has not refused too many requests on it.
func (r *Response) releaseConn() {
	r.released = true
	timeout := idleTimeout(r.Header)
	x := r.exchange
	reuse := !r.EndsWithConnection && !r.resp.Close && timeout > 0
	if (r.refused || r.Status >= http.StatusBadRequest) && x.req.ID != "" {
		x.conn.refused = append(x.conn.refused, x.client.hashID(x.req.ID))
		reuse = reuse && len(x.conn.refused) < maxRefusedRequests
	}
	x.conn.reusableUntil = time.Now().Add(timeout)
	if reuse {
		x.finish(reusable)
	} else {
		x.finish(completed)
	}
}

// initialBodyBytes is the first size of the buffer for a body of unknown length.
const initialBodyBytes = 512

// ReadAll returns the whole body if it has at most limit bytes and the budget allows it.
// Otherwise it returns a first part and ErrTooLarge; the rest can still be read. The memory of
// the result belongs to the response until Memory().Free is called.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	size, largest := initialBodyBytes, limit+1
	if r.Length >= 0 {
		largest = int(min(r.Length, int64(limit))) + 1 // one more than the body, to read its end
		size = membudget.FreeBytes
	}
	b := make([]byte, 0, min(size, largest))
	for {
		if len(b) == cap(b) {
			grown, ok := r.memory.Grow(b, largest)
			if !ok {
				return b, ErrTooLarge
			}
			b = grown
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && len(b) <= limit:
			return b, nil
		case err != nil && err != io.EOF:
			return b, err
		case len(b) > limit:
			return b, ErrTooLarge
		}
	}
}

// Memory returns what the response holds of the budget of all responses.
func (r *Response) Memory() *membudget.Account { return r.memory }

// KeepMemory makes the caller responsible for closing Memory, which Close then leaves alone.
func (r *Response) KeepMemory() { r.memory = nil }

// Close ends the exchange and returns Memory. If the body was not read to its end, the
// connection is reset.
func (r *Response) Close() {
	r.exchange.finish(abandoned)
	r.memory.Close()
}

// HasContentEncoding reports whether the body has a content encoding other than
// identity. Requests do not ask for one.
func (r *Response) HasContentEncoding() bool {
	e := r.Header.Get("Content-Encoding")
	return e != "" && !strings.EqualFold(e, "identity")
}

// maxDiscardedBytes bounds a body that is read only to reuse its connection. A new
// connection costs less than a longer body.
const maxDiscardedBytes = 64 << 10

// Discard reads the rest of a short body, so that the connection can be reused. It fails
// with ErrTooLarge if the body is longer than maxDiscardedBytes.
func (r *Response) Discard() error { return discard(r) }

// discard reads body to its end. It fails with ErrTooLarge after maxDiscardedBytes.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return ErrTooLarge
	}
	return err
}
