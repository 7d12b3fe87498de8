package splice

import (
	"errors"
	"io"
	"slices"
)

// ErrBody means that a body was broken off and filled up with another response.
var ErrBody = errors.New("the body goes on with another response")

// Body reads a body with a length. At its end it fails with ErrBody if a status line, or as
// much of one as was received, begins in the body and bytes follow the body: the length then
// ended inside another response. Without such bytes, a status line is part of the data.
type Body struct {
	io.ReadCloser
	after func() []byte // what was received after the body
	tail  []byte        // the latest bytes of the body, less than a status line
	found bool          // a status line stands in the body
}

// NewBody returns a reader of body. after returns what was received on the connection after
// the body; it is called at the end.
func NewBody(body io.ReadCloser, after func() []byte) *Body {
	return &Body{ReadCloser: body, after: after}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.scan(p[:n])
	if err != io.EOF {
		return n, err
	}
	if after := b.after(); len(after) > 0 && (b.found || b.endsInStatusLine(after)) {
		err = ErrBody
	}
	return n, err
}

// scan searches the next part of the body.
func (b *Body) scan(part []byte) {
	joined := slices.Concat(b.tail, part[:min(len(part), statusLineBytes-1)])
	b.found = b.found || statusLine.Match(joined) || statusLine.Match(part)
	if keep := statusLineBytes - 1; len(part) >= keep {
		b.tail = append(b.tail[:0], part[len(part)-keep:]...)
	} else {
		b.tail = append(b.tail, part...)
		b.tail = slices.Delete(b.tail, 0, max(0, len(b.tail)-keep))
	}
}

// endsInStatusLine reports whether a status line begins in the tail and goes on in after.
func (b *Body) endsInStatusLine(after []byte) bool {
	for i := range b.tail {
		if isStatusLinePrefix(slices.Concat(b.tail[i:], after)) {
			return true
		}
	}
	return false
}
