package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/clementinerack/clementinerack/pkg/membudget"
)

const (
	// maxEventBytes bounds one event, so that an engine cannot exhaust the memory
	// of an instance.
	maxEventBytes  = 1 << 20
	terminalMarker = "[DONE]"
)

// event is a server-sent event of an engine. seq is 0 if the event has no id.
type event struct {
	seq  uint64
	data []byte
}

func (e event) isTerminal() bool { return string(e.data) == terminalMarker }

// eventReader parses a stream of server-sent events. The data of an event belongs to the
// account until it is freed.
type eventReader struct {
	r      *bufio.Reader
	memory *membudget.Account
	line   []byte // the latest line
}

func newEventReader(r io.Reader, memory *membudget.Account) *eventReader {
	return &eventReader{r: bufio.NewReader(r), memory: memory}
}

// close frees the memory of the reader.
func (r *eventReader) close() {
	r.memory.Free(r.line)
	r.line = nil
}

// next returns the next event that was received including its closing blank line.
func (r *eventReader) next() (event, error) {
	var e event
	size, hasData := 0, false
	for {
		line, err := r.readLine(maxEventBytes - size)
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e = event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			if e.seq, err = strconv.ParseUint(string(value), 10, 64); err != nil {
				return event{}, fmt.Errorf("event id %q is not a sequence number", value)
			}
		case "data":
			ok := true
			if hasData {
				e.data, ok = r.memory.Append(e.data, []byte("\n"), maxEventBytes)
			}
			if ok {
				e.data, ok = r.memory.Append(e.data, value, maxEventBytes)
			}
			if !ok {
				return event{}, errNoMemory
			}
			hasData = true
		}
	}
}

// readLine returns the next line without its end. It is valid until the next call.
func (r *eventReader) readLine(limit int) ([]byte, error) {
	if cap(r.line) > membudget.FreeBytes {
		r.close()
	}
	r.line = r.line[:0]
	for {
		part, err := r.r.ReadSlice('\n')
		if len(r.line)+len(part) > limit {
			return nil, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		var ok bool
		if r.line, ok = r.memory.Append(r.line, part, maxEventBytes); !ok {
			return nil, errNoMemory
		}
		if err == nil {
			return bytes.TrimRight(r.line, "\r\n"), nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}
