package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

const (
	// defaultBodyBytes holds the longest patient histories.
	defaultBodyBytes = 8 << 20
	// bodyTimeout bounds the upload, so that slow senders do not hold requests.
	bodyTimeout = 30 * time.Second
)

// parser fills in the parts of a job that depend on the kind of its service.
type parser func(doc *config.Document, j *job, r *http.Request) error

// prepare checks a request and turns it into a job. The job is nil when the
// request is malformed.
func (s *Server) prepare(r *http.Request, j *job, parse parser) error {
	doc, ws, err := s.authenticate(r)
	if err != nil {
		return err
	}
	j.workspace = ws
	if j.budget, err = chooseBudget(ws, r.Header.Get(budgetHeader)); err != nil {
		return err
	}
	if j.priority, err = parsePriority(r.Header.Get(priorityHeader)); err != nil {
		return err
	}
	if err := parse(doc, j, r); err != nil {
		return err
	}
	allowed, err := timeoutOf(r.Header.Get(timeoutHeader), j.service)
	if err != nil {
		return err
	}
	j.deadline = j.arrived.Add(allowed)
	return s.assignID(j, r.Header, doc.Shards)
}

// readBody reads the whole body, up to limit bytes.
func readBody(out *responder, r *http.Request, limit int64) ([]byte, error) {
	out.readDeadline(time.Now().Add(bodyTimeout))
	defer out.readDeadline(time.Time{})
	body, err := io.ReadAll(http.MaxBytesReader(out.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, failure.New(failure.Invalid, "send a smaller body", "the body exceeds %d bytes", limit)
	case err != nil:
		return nil, failure.New(failure.Invalid, "send the whole body", "the body could not be read: %v", err)
	}
	return body, nil
}

// objectFields returns the members of a JSON object. It refuses duplicate names
// and trailing data, which readers of JSON treat differently.
func objectFields(body []byte) (map[string]json.RawMessage, error) {
	invalid := func(what string) error {
		return failure.New(failure.Invalid, "send one JSON object in UTF-8", "the body %s", what)
	}
	if !utf8.Valid(body) {
		return nil, invalid("is not UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, invalid("is not a JSON object")
	}
	fields := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return nil, invalid("is not valid JSON")
		}
		if _, ok := fields[name]; ok {
			return nil, invalid("has the member " + name + " twice")
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, invalid("is not valid JSON")
		}
		fields[name] = value
	}
	if _, err := dec.Token(); err != nil {
		return nil, invalid("is not valid JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, invalid("has data after the JSON object")
	}
	return fields, nil
}
