package upstream

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is returned by Response.ReadAll if the body exceeds the limit.
var ErrTooLarge = errors.New("response body exceeds the limit")

// Response is the response of an endpoint. Its body is read as it arrives. It must
// be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64

	resp     *http.Response
	exchange *exchange
}

// Read implements io.Reader for the body. It returns io.EOF only at the end of a
// complete body. The connection can then be reused.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == io.EOF {
		r.releaseConn()
	}
	return n, err
}

// releaseConn ends the exchange after the end of the body. The connection is reused
// if the end of the body did not depend on the end of the connection and if the
// endpoint allows it.
func (r *Response) releaseConn() {
	timeout := idleTimeout(r.Header)
	framed := r.Length >= 0 || len(r.resp.TransferEncoding) > 0
	reuse := framed && !r.resp.Close && timeout > 0
	r.exchange.conn.reusableUntil = time.Now().Add(timeout)
	r.exchange.finish(reuse)
}

// ReadAll returns the whole body if it has at most limit bytes. Otherwise it returns
// the first limit+1 bytes and ErrTooLarge; the rest can still be read.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		return b, ErrTooLarge
	}
	return b, err
}

// Close ends the exchange. If the body was not read to its end, the connection is
// closed.
func (r *Response) Close() { r.exchange.finish(false) }

// HasContentEncoding reports whether the body has a content encoding other than
// identity. Requests do not ask for one.
func (r *Response) HasContentEncoding() bool {
	e := r.Header.Get("Content-Encoding")
	return e != "" && !strings.EqualFold(e, "identity")
}

// discardBody reads the body of a response to its end.
func discardBody(r *http.Response) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}
