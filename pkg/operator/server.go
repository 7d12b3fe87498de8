package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// Paths and headers of the API.
const (
	// QueriesPath is followed by the name of a query.
	QueriesPath = "/operator/v1/queries/"
	// CommandsPath is followed by the name of a command.
	CommandsPath = "/operator/v1/commands/"
	// OperatorHeader carries the name of the operator.
	OperatorHeader = "X-Operator"
)

const (
	// maxBodyBytes limits the body of a command. An apply at the target size names
	// 230,000 budgets of up to 63 characters, some with opening amounts.
	maxBodyBytes = 64 * kvstore.MaxValueBytes
	// requestTimeout limits the handling of one request. It covers ten attempts on
	// a store that does not answer swaps.
	requestTimeout = 30 * time.Second
)

// Patterns of the command id and of the operator's name.
var (
	commandIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)
	operatorPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)
)

// server holds what the handlers of the API need.
type server struct {
	backend Backend
	token   settings.Secret
	log     logrus.FieldLogger
}

// NewHandler returns the handler of the API. Requests must carry the token as
// bearer token, and commands also the operator's name in OperatorHeader.
func NewHandler(backend Backend, token settings.Secret, log logrus.FieldLogger) http.Handler {
	s := &server{backend, token, log}
	mux := http.NewServeMux()
	s.registerQueries(mux)
	s.registerCommands(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		failure.Write(w, failure.New(failure.NotFound, "use a tool of the same release", "the operators' API has no call %s %s", r.Method, r.URL.Path))
	})
	return s.requireToken(mux)
}

// requireToken rejects requests without the token and limits the others to
// requestTimeout. It compares digests of equal length, so that the duration of the
// comparison reveals neither the content nor the length of the token.
func (s *server) requireToken(next http.Handler) http.Handler {
	want := sha256.Sum256(s.token.Reveal())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || !ok || token == "" {
			failure.Write(w, failure.New(failure.Unauthorized, "send the operators' token as bearer token", "the token is missing or wrong"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// writeResult writes the result of a call as JSON, or its error as a problem.
func writeResult(w http.ResponseWriter, result any, err error) {
	if err != nil {
		failure.Write(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result) // a write fails only if the client has disconnected
}
