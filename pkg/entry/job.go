package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

const (
	defaultTimeout = 60 * time.Second
	maxTimeout     = time.Hour
	maxKeyBytes    = 255
)

// job is a parsed request of a caller.
type job struct {
	arrivedAt time.Time
	deadline  time.Time

	workspace config.Workspace
	budget    ledger.BudgetKey
	service   config.Service

	id string
	// callerKnowsID is true when the caller sent the id or its own key, and so may
	// repeat the request.
	callerKnowsID bool
	repeatable    bool
	fingerprint   [16]byte
	traits        []quarantine.Trait // what it has in common with others that may crash endpoints
	amount        ledger.Tokens      // the tokens to reserve
	priority      routing.Priority
	affinity      uint64 // hash of the prompt's prefix; 0 for app requests

	// Set for model requests.
	stream    bool
	maxTokens int64 // bound of the output

	// Sent to the endpoint; model requests have only a body.
	method string
	path   string
	header http.Header
	body   []byte

	responder *responder
	timing    timing
	// callerFault is true when the request is refused because its workspace
	// exceeded a limit. The kind of the error does not show this.
	callerFault bool
}

func (j *job) isModel() bool { return j.service.Kind == config.ModelService }

// allTraits returns the traits and the one that only equal requests have.
func (j *job) allTraits() []quarantine.Trait {
	return append(slices.Clone(j.traits), quarantine.IdentifyingTrait(j.fingerprint))
}

// computeFingerprint returns the first 128 bits of the SHA-256 of the parts that
// identify equal requests. Each part is preceded by its length, so that the
// concatenation is unambiguous.
func computeFingerprint(workspace, service, method, path string, body []byte) [16]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(service), []byte(method), []byte(path), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // a hash never fails
		_, _ = h.Write(part)
	}
	return [16]byte(h.Sum(nil)[:16])
}

func parsePriority(text string) (routing.Priority, error) {
	switch text {
	case "high":
		return routing.High, nil
	case "", "normal":
		return routing.Normal, nil
	case "low":
		return routing.Low, nil
	}
	return 0, failure.New(failure.Invalid, "send high, normal or low", "%s %q is not a priority", priorityHeader, text)
}

// parseTimeout returns the timeout of a request: that of the header, or else the
// default of the service.
func parseTimeout(text string, svc config.Service) (time.Duration, error) {
	if text == "" {
		if svc.Timeout <= 0 {
			return defaultTimeout, nil
		}
		return svc.Timeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, failure.New(failure.Invalid, "send a duration of at most 1h such as 30s or 500ms",
			"%s %q is not a valid duration", timeoutHeader, text)
	}
	return d, nil
}

// assignID sets the id of the job to the one that its caller sent, or issues one.
// A call that is not repeatable needs an id from its caller: without one, a
// caller that lost the answer could only run the request again.
func (s *Server) assignID(j *job, h http.Header, shards int) error {
	if _, ok := h[keyHeader]; !ok {
		if !j.repeatable {
			return failure.New(failure.Invalid,
				"get an id with POST "+idsPath+" and send it as "+keyHeader+", or send a key of your own",
				"a call that is not repeatable needs the header %s", keyHeader)
		}
		return s.issueID(j)
	}
	j.callerKnowsID = true
	id, err := s.resolveKey(j.budget, h.Get(keyHeader), shards)
	j.id = id
	return err
}

// issueID sets a new id, which the caller does not know.
func (s *Server) issueID(j *job) error {
	id, err := s.opts.Ledger.NewID(j.budget)
	if err != nil {
		return err
	}
	id.Kind = ledger.Internal
	j.id = id.String()
	return nil
}

// resolveKey returns the request id for the value of keyHeader, which is either an
// issued id or a key of the caller's own. An issued id must belong to the shard
// of the budget.
func (s *Server) resolveKey(budget ledger.BudgetKey, key string, shards int) (string, error) {
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", failure.New(failure.Invalid, "send 1 to 255 printable ASCII characters without spaces",
			"the header %s is malformed", keyHeader)
	}
	if !ledger.IsIssuedID(key) {
		id, err := s.opts.Ledger.CallerKeyID(budget, key)
		return id.String(), err
	}
	id, err := ledger.ParseRequestID(key)
	if err != nil {
		return "", err
	}
	if shards > 0 && id.Shard.Shard != ledger.ShardOf(budget, shards) {
		return "", failure.New(failure.Invalid, "send the request with the budget for which the id was issued",
			"request id %q was not issued for budget %q", key, budget.Budget)
	}
	return key, nil
}
