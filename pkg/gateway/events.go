package gateway

import (
	"bytes"
	"io"
	"iter"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("event of a stream exceeds 1 MiB")
	// errIncompleteEvent means that a stream was interrupted. Its framing cannot show
	// that if the body ends with the connection.
	errIncompleteEvent = errors.New("the stream ended inside an event")
	// errMissingEvents is also a value of the label result of the attempts metric.
	errMissingEvents = errors.New("events are missing after the resumption")
	// errForeignEvent means that a stream has bytes that are no event, or an event without a
	// number after numbered ones, such as an error.
	errForeignEvent = errors.New("the stream contains something else than events, or an event without a number after numbered ones")
)

// eventReader splits a stream of server-sent events at event boundaries.
type eventReader struct {
	src      io.Reader
	buf      []byte
	returned int // length of the prefix of buf that the last call of next returned
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 0, 1024)}
}

// next blocks until at least one complete event has arrived and returns all
// complete events so far. It fails with io.EOF only at the end of a stream that
// does not end inside an event; comments after the last event are then returned too.
// The result is valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.buf = append(r.buf[:0], r.buf[r.returned:]...)
	r.returned = 0
	for {
		if end := lastEventEnd(r.buf); end > 0 {
			r.returned = end
			return r.buf[:end], nil
		}
		if len(r.buf) >= maxEventBytes {
			return nil, errEventTooLarge
		}
		if cap(r.buf)-len(r.buf) < 512 {
			r.buf = append(make([]byte, 0, 2*cap(r.buf)), r.buf...)
		}
		n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		if err == nil {
			continue
		}
		end := lastEventEnd(r.buf)
		if err == io.EOF {
			if isInsideEvent(r.buf[end:]) {
				err = errIncompleteEvent
			} else {
				end = len(r.buf)
			}
		}
		r.returned = end
		return r.buf[:end], err
	}
}

// isInsideEvent reports whether a stream that ends with rest after its last complete
// event was interrupted. Complete lines with comments belong to no event.
func isInsideEvent(rest []byte) bool {
	if len(rest) == 0 {
		return false
	}
	last := rest[len(rest)-1]
	return last != '\n' && last != '\r' || hasFields(rest)
}

// incompleteBytes returns the number of bytes after the last complete event.
func (r *eventReader) incompleteBytes() int { return len(r.buf) - lastEventEnd(r.buf) }

// lastEventEnd returns the offset after the last complete event in b, or 0.
func lastEventEnd(b []byte) int {
	end := 0
	for {
		n := eventEnd(b[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// eventEnd returns the offset after the first event in b, which ends with an empty
// line, or 0 if it is incomplete. A line ends with LF, CR LF or CR (WHATWG HTML,
// section 9.2.6). A further empty line is an event without fields.
func eventEnd(b []byte) int {
	for start := 0; ; {
		n := bytes.IndexAny(b[start:], "\r\n")
		if n < 0 {
			return 0
		}
		next := start + n + 1
		if b[next-1] == '\r' && next < len(b) && b[next] == '\n' {
			next++
		}
		if n == 0 {
			return next
		}
		start = next
	}
}

// eventBatch holds events to forward. count does not include events without an ID.
type eventBatch struct {
	bytes []byte
	count int64
}

// skipDelivered returns the events of a batch that the caller does not have yet, and
// advances the position in the stream. It fails with errMissingEvents if a resumed
// run starts later than the next event, and with errForeignEvent at bytes that are
// no event, or at an event without a number after numbered ones; the events before it are
// returned too.
func (s *streamState) skipDelivered(batch []byte) (eventBatch, error) {
	var out eventBatch
	for rest := batch; len(rest) > 0; {
		event := rest
		if n := eventEnd(rest); n > 0 {
			event = rest[:n]
		}
		rest = rest[len(event):]
		id, ok := eventID(event)
		n, err := strconv.ParseInt(id, 10, 64)
		numbered := ok && err == nil
		if hasFields(event) && (!numbered && s.hasLastNumber || !isSoundEvent(event, s.isEventField)) {
			return out, errForeignEvent
		}
		if !ok {
			s.forwardedWithoutID = s.forwardedWithoutID || hasFields(event)
			out.bytes = append(out.bytes, event...)
			continue
		}
		if numbered && s.hasLastNumber && n <= s.lastNumber {
			continue
		}
		if numbered && s.hasLastNumber && s.isResuming && n > s.lastNumber+1 {
			return out, errMissingEvents
		}
		s.isResuming = false
		s.lastEventID, s.lastNumber, s.hasLastNumber = id, n, numbered
		out.bytes = append(out.bytes, event...)
		out.count++
	}
	return out, nil
}

// eventID returns the value of the id field of an event, and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range eventLines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// hasFields reports whether an event has a line that is neither empty nor a comment.
func hasFields(event []byte) bool {
	for line := range eventLines(event) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// eventLines returns the lines of an event that are not empty.
func eventLines(event []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\r' || r == '\n' })
}
