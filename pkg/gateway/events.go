package gateway

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

var (
	errLargeEvent = errors.New("an event is too large")
	errGap        = errors.New("events are missing after the resumption")
)

// eventReader cuts a stream into whole events.
type eventReader struct {
	src  io.Reader
	buf  []byte
	done int // bytes of buf that were returned
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 0, 1024)}
}

// next returns the whole events that have arrived, at least one unless err is
// set. At the end of the stream it also returns what follows the last event.
func (r *eventReader) next() ([]byte, error) {
	r.buf = append(r.buf[:0], r.buf[r.done:]...)
	r.done = 0
	for {
		if end := lastBoundary(r.buf); end > 0 {
			r.done = end
			return r.buf[:end], nil
		}
		if len(r.buf) >= maxEvent {
			return nil, errLargeEvent
		}
		if cap(r.buf)-len(r.buf) < 512 {
			r.buf = append(make([]byte, 0, 2*cap(r.buf)), r.buf...)
		}
		n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		if err == io.EOF {
			r.done = len(r.buf)
			return r.buf, io.EOF
		}
		if err != nil {
			end := max(0, lastBoundary(r.buf))
			r.done = end
			return r.buf[:end], err
		}
	}
}

// lastBoundary returns the end of the last whole event.
func lastBoundary(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

// joined are the events to pass on.
type joined struct {
	bytes []byte
	count int64
}

// join returns the events of a batch that follow the last one passed on. Events
// that the caller has are left out, and a gap after a resumption is an error.
func (s *stream) join(batch []byte, final bool) (joined, error) {
	var out joined
	for rest := batch; len(rest) > 0; {
		event := rest
		if i := bytes.Index(rest, []byte("\n\n")); i >= 0 {
			event = rest[:i+2]
		} else if !final {
			break
		}
		rest = rest[len(event):]
		id, ok := eventID(event)
		if !ok {
			s.unnumbered = true
			out.bytes = append(out.bytes, event...)
			continue
		}
		n, err := strconv.ParseInt(id, 10, 64)
		numbered := err == nil
		if numbered && s.numbered && n <= s.last {
			continue
		}
		if numbered && s.numbered && s.resumed && n > s.last+1 {
			return out, errGap
		}
		s.resumed = false
		s.lastEvent, s.last, s.numbered = id, n, numbered
		out.bytes = append(out.bytes, event...)
		out.count++
	}
	return out, nil
}

// eventID returns the id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
