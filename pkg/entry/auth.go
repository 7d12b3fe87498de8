package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Request headers of the API.
const (
	keyHeader      = "Idempotency-Key"
	budgetHeader   = "Clementinerack-Budget"
	priorityHeader = "Clementinerack-Priority"
	timeoutHeader  = "Clementinerack-Timeout"
	// idHeader is the response header with the id of the request.
	idHeader = "Clementinerack-Request-Id"
)

// singleHeaders are the headers that may occur only once. With two values, the
// caller and this program could act on different ones.
var singleHeaders = []string{
	"Authorization", "Content-Length", "Content-Type", "Content-Encoding",
	keyHeader, budgetHeader, priorityHeader, timeoutHeader,
}

func checkHeaders(h http.Header) error {
	for _, name := range singleHeaders {
		if n := len(h.Values(name)); n > 1 {
			return failure.New(failure.Invalid, "send the header once", "header %s occurs %d times", name, n)
		}
	}
	return nil
}

// authenticate returns the configuration document in force and the workspace of
// the caller.
func (s *Server) authenticate(r *http.Request) (*config.Document, config.Workspace, error) {
	if err := checkHeaders(r.Header); err != nil {
		return nil, config.Workspace{}, err
	}
	doc := s.opts.Configuration.Current()
	if doc == nil {
		return nil, config.Workspace{}, failure.New(failure.NotReady, "repeat the request later", "the instance has no configuration yet")
	}
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, config.Workspace{}, failure.New(failure.Unauthorized,
			"send the header Authorization: Bearer <workspace key>", "the request has no workspace key")
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	ws, ok := doc.WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, config.Workspace{}, failure.New(failure.Unauthorized, "check the workspace key", "the workspace key is not known")
	}
	return doc, ws, nil
}

// chooseBudget returns the key of the named budget, or of the workspace's default
// budget if name is empty. The key always belongs to the caller's own workspace.
// A budget that does not exist counts as exhausted, so the owner of its shard refuses
// the request.
func chooseBudget(ws config.Workspace, name string) (ledger.BudgetKey, error) {
	if name == "" {
		name = ws.DefaultBudget
	}
	if !config.IsValidName(name) {
		return ledger.BudgetKey{}, failure.New(failure.Invalid,
			"name a budget of the workspace in the header "+budgetHeader, "budget name %q is not valid", name)
	}
	return ledger.BudgetKey{Workspace: ws.Name, Budget: name}, nil
}
