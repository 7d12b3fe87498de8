package gateway

import (
	"bytes"
	"math"
	"strconv"
	"testing"
	"testing/iotest"
)

// Guards against a stream that stops the process, grows in the gateway or reaches the caller out of order.
func FuzzStream(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 9223372036854775807\ndata: a\n\nid: -9223372036854775808\ndata: b\n\n", "data\r\rid:7\r\n\r\n:x\n\n", "id: 99999999999999999999\ndata: a\n\n",
		"id: 1\n\nid: 3\n\nHTTP/1.1 500 Error\r\n\r\n"} {
		for _, last := range []int64{0, 1, -1, math.MaxInt64, math.MinInt64} {
			f.Add([]byte(text), last, true, 2)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, last int64, isResuming bool, chunk int) {
		r := newEventReader(iotest.OneByteReader(bytes.NewReader(data)), nil)
		if chunk > 1 {
			r = newEventReader(bytes.NewReader(data), nil)
		}
		s := &streamState{lastNumber: last, hasLastNumber: isResuming, isResuming: isResuming, isEventField: func(string) bool { return false }}
		forwarded, previous, hasPrevious := 0, last, isResuming
		for {
			batch, err := r.next()
			if err != nil {
				break
			}
			out, err := s.skipDelivered(batch)
			forwarded += len(out.bytes)
			if int64(len(out.bytes)) < out.count {
				t.Errorf("%d events in %d bytes", out.count, len(out.bytes))
			}
			for rest := out.bytes; len(rest) > 0; {
				event := rest
				if n := eventEnd(rest); n > 0 {
					event = rest[:n]
				}
				rest = rest[len(event):]
				id, ok := eventID(event)
				n, parseErr := strconv.ParseInt(id, 10, 64)
				if !ok || parseErr != nil {
					continue
				}
				if hasPrevious && n <= previous {
					t.Errorf("event %d after %d", n, previous)
				}
				previous, hasPrevious = n, true
			}
			if err != nil {
				break
			}
		}
		if forwarded > len(data) || cap(r.buf) > 4*maxEventBytes {
			t.Errorf("%d of %d bytes were forwarded, buffer of %d", forwarded, len(data), cap(r.buf))
		}
	})
}
