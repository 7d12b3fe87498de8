package failure

import (
	"encoding/json"
	"net/http"
)

// ProblemContentType is the media type of problem details (RFC 9457).
const ProblemContentType = "application/problem+json"

// OutcomeHeader is the response header that carries the outcome of a caller's request.
const OutcomeHeader = "Clementinerack-Outcome"

// Problem is the problem details form of an Error. Kind, Remedy and Outcome are
// extension members.
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

// Write writes err to w as problem details, with the status of its kind. The header
// of the response must not have been written yet.
func Write(w http.ResponseWriter, err error) { WriteWithStatus(w, Status(From(err).Kind), err) }

// WriteWithStatus is like Write, but uses the given status instead of that of the kind.
func WriteWithStatus(w http.ResponseWriter, status int, err error) {
	problem := ProblemOf(err)
	problem.Status, problem.Title = status, http.StatusText(status)
	w.Header().Set("Content-Type", ProblemContentType)
	if problem.Outcome != "" {
		w.Header().Set(OutcomeHeader, string(problem.Outcome))
	}
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem) // an error means that the client has disconnected
}
