package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
	"unicode/utf8"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ingress"
)

const (
	// defaultMaxBodyBytes is enough for the longest patient histories.
	defaultMaxBodyBytes = 8 << 20
	// bodyReadTimeout bounds the upload of a body, so that slow senders do not
	// hold requests open.
	bodyReadTimeout = 30 * time.Second
)

// parseFunc sets the fields of a job that depend on the kind of its service.
type parseFunc func(doc *config.Document, j *job, r *http.Request) error

// parseRequest authenticates and validates a request and fills in its job. After
// an error the job is incomplete.
func (s *Server) parseRequest(r *http.Request, j *job, parse parseFunc) error {
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
	timeout, err := parseTimeout(r.Header.Get(timeoutHeader), j.service)
	if err != nil {
		return err
	}
	j.deadline = j.arrivedAt.Add(timeout)
	return s.assignID(j, r.Header, doc.Shards)
}

// readBody reads the whole body. A body of more than limit bytes is an error.
func readBody(resp *responder, r *http.Request, limit int64) ([]byte, error) {
	deadline := time.Now().Add(bodyReadTimeout)
	resp.setReadDeadline(deadline)
	body, err := ingress.ReadBody(resp.w, r, limit, deadline)
	switch {
	case err == nil:
		resp.setReadDeadline(time.Time{})
		return body, nil
	case errors.Is(err, ingress.ErrTooLarge):
		return nil, failure.New(failure.Invalid, "send a smaller body", "the body exceeds %d bytes", limit)
	case errors.Is(err, ingress.ErrNoMemory):
		return nil, failure.New(failure.Limited, "send it to another instance", "no memory is left for the body")
	case errors.Is(err, ingress.ErrSlow), errors.Is(err, os.ErrDeadlineExceeded):
		return nil, failure.New(failure.Slow, "send the body without pauses", "the body did not arrive in time")
	}
	return nil, failure.New(failure.Invalid, "send the whole body", "the body could not be read: %v", err)
}

// decodeObject returns the members of a JSON object. It rejects duplicate names
// and trailing data, because JSON parsers disagree on their meaning.
func decodeObject(body []byte) (map[string]json.RawMessage, error) {
	invalid := func(problem string) error {
		return failure.New(failure.Invalid, "send one JSON object in UTF-8", "the body %s", problem)
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
