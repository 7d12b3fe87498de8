package upstream

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is the error of an answer that exceeds the reader's limit.
var ErrTooLarge = errors.New("the answer is too large to be held")

// Response is an endpoint's answer whose body is read as it arrives.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not known.
	Length int64

	body *http.Response
	x    *exchange
}

// Read reads the body. The error is io.EOF only at the end of a whole body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Body.Read(p)
	if err == io.EOF {
		a.whole()
	}
	return n, err
}

// whole returns the connection after the end of a body.
func (a *Response) whole() {
	idle := idleFor(a.Header)
	framed := a.Length >= 0 || len(a.body.TransferEncoding) > 0
	reuse := framed && !a.body.Close && idle > 0
	a.x.conn.expires = time.Now().Add(idle)
	a.x.end(reuse)
}

// ReadAll returns the whole body. With ErrTooLarge it returns what was read of a
// longer one, at least limit bytes; the rest can still be read.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(b)) > limit {
		return b, ErrTooLarge
	}
	return b, err
}

// Close ends the exchange. Before the end of the body the connection is closed.
func (a *Response) Close() { a.x.end(false) }

// HasContentEncoding reports whether the body has a content encoding. Requests ask for none.
func (a *Response) HasContentEncoding() bool {
	e := a.Header.Get("Content-Encoding")
	return e != "" && !strings.EqualFold(e, "identity")
}

// skip reads an answer to its end.
func skip(r *http.Response) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}
