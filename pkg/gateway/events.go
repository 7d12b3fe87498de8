package gateway

import (
	"bytes"
	"io"
	"iter"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/membudget"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("event of a stream exceeds 1 MiB")
	// errNoMemoryForEvent means that the responses of the endpoint, or of all endpoints, already
	// take the memory that they may take.
	errNoMemoryForEvent = errors.New("no memory is left for an event of a stream")
	// errIncompleteEvent means that a stream was interrupted. Its framing cannot show
	// that if the body ends with the connection.
	errIncompleteEvent = errors.New("the stream ended inside an event")
	// errMissingEvents is also a value of the label result of the attempts metric.
	errMissingEvents = errors.New("events are missing after the resumption")
	// errForeignEvent means that a stream has bytes that are no event, or an event without a
	// number after numbered ones, such as an error.
	errForeignEvent = errors.New("the stream contains something else than events, or an event without a number after numbered ones")
)

// eventReader splits a stream of server-sent events at event boundaries. It scans each byte
// once.
type eventReader struct {
	src       io.Reader
	memory    *membudget.Account // of buf
	buf       []byte
	scanned   int // length of the prefix of buf that scan has read
	lineStart int // of the line that is not complete in that prefix
	end       int // offset after the last complete event in that prefix
	returned  int // length of the prefix of buf that the last call of next returned
}

// initialEventBytes is the first size of the buffer, which most events fit.
const initialEventBytes = 1024

func newEventReader(src io.Reader, memory *membudget.Account) *eventReader {
	return &eventReader{src: src, memory: memory, buf: make([]byte, 0, initialEventBytes)}
}

// next blocks until at least one complete event has arrived and returns all
// complete events so far. It fails with io.EOF only at the end of a stream that
// does not end inside an event; comments after the last event are then returned too.
// The caller may change the result, which is valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.dropReturned()
	for {
		if err := r.reserve(); err != nil {
			return nil, err
		}
		n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		r.scan()
		end := r.end
		if err == io.EOF {
			if isInsideEvent(r.buf[end:]) {
				err = errIncompleteEvent
			} else {
				end = len(r.buf)
			}
		}
		if end > 0 || err != nil {
			r.returned = end
			return r.buf[:end], err
		}
	}
}

// dropReturned removes what the last call of next returned from the buffer, and replaces a
// buffer that was only needed for a long event.
func (r *eventReader) dropReturned() {
	rest := r.buf[r.returned:]
	r.scanned, r.lineStart, r.end, r.returned = r.scanned-r.returned, r.lineStart-r.returned, 0, 0
	if cap(r.buf) > membudget.FreeBytes && len(rest) < initialEventBytes {
		r.memory.Free(r.buf)
		r.buf = make([]byte, 0, initialEventBytes)
	}
	r.buf = append(r.buf[:0], rest...)
}

// minReadBytes is the space in the buffer below which it grows.
const minReadBytes = 512

// reserve makes sure that the buffer has space. It fails with errEventTooLarge at a buffer of
// maxEventBytes and with errNoMemoryForEvent if the budget does not allow a larger one.
func (r *eventReader) reserve() error {
	if cap(r.buf)-len(r.buf) < minReadBytes {
		r.buf, _ = r.memory.Grow(r.buf, maxEventBytes)
	}
	switch {
	case len(r.buf) < cap(r.buf):
		return nil
	case len(r.buf) >= maxEventBytes:
		return errEventTooLarge
	}
	return errNoMemoryForEvent
}

// scan finds the line ends and the events that are now complete. An event ends with an empty
// line, and a line with LF, CR LF or CR (WHATWG HTML, section 9.2.6). A further empty line is
// an event without fields.
func (r *eventReader) scan() {
	for at := r.scanned; ; {
		if at < len(r.buf) && at == r.lineStart && at > r.end && r.buf[at-1] == '\r' && r.buf[at] == '\n' {
			at++ // the second half of a CR LF
			r.lineStart = at
		}
		n := bytes.IndexAny(r.buf[at:], "\r\n")
		if n < 0 {
			r.scanned = len(r.buf)
			return
		}
		next := lineEnd(r.buf, at+n)
		if at+n == r.lineStart {
			r.end = next
		}
		at, r.lineStart = next, next
	}
}

// lineEnd returns the offset after the line end that begins at i.
func lineEnd(b []byte, i int) int {
	if b[i] == '\r' && i+1 < len(b) && b[i+1] == '\n' {
		return i + 2
	}
	return i + 1
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
func (r *eventReader) incompleteBytes() int { return len(r.buf) - r.end }

// eventEnd returns the offset after the first event in b, or 0 if it is incomplete.
func eventEnd(b []byte) int {
	for start := 0; ; {
		n := bytes.IndexAny(b[start:], "\r\n")
		if n < 0 {
			return 0
		}
		next := lineEnd(b, start+n)
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

// skipDelivered returns the events of a batch that the caller does not have yet, in the memory
// of the batch, and advances the position in the stream. It fails with errMissingEvents if a resumed
// run starts later than the next event, and with errForeignEvent at bytes that are
// no event, or at an event without a number after numbered ones; the events before it are
// returned too.
func (s *streamState) skipDelivered(batch []byte) (eventBatch, error) {
	out := eventBatch{bytes: batch[:0]}
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
