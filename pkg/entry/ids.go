package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	maxIDsPerCall  = 1000
	maxIDBodyBytes = 4 << 10
	lookupTimeout  = 5 * time.Second // longer than a takeover, which takes about 3 s
)

// serveIDs serves POST /v1/request-ids. Ids are issued without a call to the
// owner of their shard.
func (s *Server) serveIDs(w http.ResponseWriter, r *http.Request) {
	ids, err := s.newIDs(newResponder(w), r)
	if err != nil {
		failure.Write(w, err)
		return
	}
	writeJSON(w, map[string][]string{"ids": ids})
}

func (s *Server) newIDs(resp *responder, r *http.Request) ([]string, error) {
	_, ws, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	if err := s.limits.allow(ws); err != nil {
		return nil, err
	}
	name, count, err := readIDRequest(resp, r)
	if err != nil {
		return nil, err
	}
	if name == "" {
		name = r.Header.Get(budgetHeader)
	}
	budget, err := chooseBudget(ws, name)
	if err != nil {
		return nil, err
	}
	ids := make([]string, count)
	for i := range ids {
		id, err := s.opts.Ledger.NewID(budget)
		if err != nil {
			return nil, err
		}
		ids[i] = id.String()
	}
	return ids, nil
}

func readIDRequest(resp *responder, r *http.Request) (budget string, count int, err error) {
	body, err := readBody(resp, r, maxIDBodyBytes)
	if err != nil {
		return "", 0, err
	}
	count = 1
	if len(body) == 0 {
		return "", count, nil
	}
	fields, err := decodeObject(body)
	if err != nil {
		return "", 0, err
	}
	if !hasOnlyMembers(fields, "budget", "count") {
		return "", 0, failure.New(failure.Invalid, "send budget and count only", "the body has an unknown member")
	}
	if fields["budget"] != nil {
		if err := decodeMember(fields, "budget", &budget); err != nil {
			return "", 0, err
		}
	}
	if fields["count"] != nil {
		if err := decodeMember(fields, "count", &count); err != nil {
			return "", 0, err
		}
	}
	if count < 1 || count > maxIDsPerCall {
		return "", 0, failure.New(failure.Invalid, "ask for 1 to 1000 ids", "count %d is out of range", count)
	}
	return budget, count, nil
}

// statusReply is the body of the answer to GET /v1/requests/<id>.
type statusReply struct {
	ledger.RequestStatus
	State string `json:"state"`
}

var stateNames = map[ledger.RecordState]string{
	ledger.StateRunning: "running", ledger.StateAnswered: "answered", ledger.StateNotRun: "not-run",
	ledger.StateUnknown: "unknown", ledger.StatePartial: "partial",
}

// serveStatus serves GET /v1/requests/<id>. The id may be the caller's own key.
func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.lookupRequest(r)
	if err != nil {
		failure.Write(w, err)
		return
	}
	writeJSON(w, statusReply{status, stateNames[status.State]})
}

func (s *Server) lookupRequest(r *http.Request) (ledger.RequestStatus, error) {
	doc, ws, err := s.authenticate(r)
	if err != nil {
		return ledger.RequestStatus{}, err
	}
	if err := s.limits.allow(ws); err != nil {
		return ledger.RequestStatus{}, err
	}
	id := strings.TrimPrefix(r.URL.Path, statusPrefix)
	if parsed, err := ledger.ParseRequestID(id); err != nil || parsed.String() != id {
		budget, err := chooseBudget(ws, r.Header.Get(budgetHeader))
		if err != nil {
			return ledger.RequestStatus{}, err
		}
		if id, err = s.resolveKey(budget, id, doc.Shards); err != nil {
			return ledger.RequestStatus{}, err
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	status, err := s.opts.Ledger.Lookup(ctx, id)
	if err != nil {
		return ledger.RequestStatus{}, err
	}
	if status.Budget.Workspace != ws.Name {
		return ledger.RequestStatus{}, failure.New(failure.NotFound, "check the id", "request %q is not known", id)
	}
	return status, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the client has disconnected
}
