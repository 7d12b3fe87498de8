package failure

import (
	"encoding/json"
	"net/http"
)

// ProblemContentType is the media type of RFC 9457 problem details.
const ProblemContentType = "application/problem+json"

// OutcomeHeader carries the outcome of a caller's request.
const OutcomeHeader = "Clementinerack-Outcome"

// Problem is the problem+json form of an Error.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Kind    Kind    `json:"kind"`
	Remedy  string  `json:"remedy,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
}

// ProblemOf returns the problem details of err.
func ProblemOf(err error) Problem {
	e := From(err)
	status := Status(e.Kind)
	return Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: e.Message, Kind: e.Kind, Remedy: e.Remedy, Outcome: e.Outcome,
	}
}

// Write sends err as problem+json. It must be called before the body has begun.
func Write(w http.ResponseWriter, err error) { WriteWithStatus(w, Status(From(err).Kind), err) }

// WriteWithStatus is Write with a status other than the one of the kind.
func WriteWithStatus(w http.ResponseWriter, status int, err error) {
	p := ProblemOf(err)
	p.Status, p.Title = status, http.StatusText(status)
	w.Header().Set("Content-Type", ProblemContentType)
	if p.Outcome != "" {
		w.Header().Set(OutcomeHeader, string(p.Outcome))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // a failed write means that the client has left
}
