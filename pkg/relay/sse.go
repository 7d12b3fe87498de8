package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
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

// eventReader parses a stream of server-sent events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

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
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

func (r *eventReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}
