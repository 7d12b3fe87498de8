package entry

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"slices"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	// templateTokens and messageTokens cover what chat templates add to the
	// text: special tokens at the start and the end, and a role marker around
	// each message.
	templateTokens = 64
	messageTokens  = 16
	// hugeTokens refuses max_tokens beyond any model's context.
	hugeTokens = 1 << 24
	// affinityBytes of the messages select an endpoint that holds the prefix in
	// its cache; system prompts and patient histories are longer than this.
	affinityBytes = 1024
)

// chatFields are the members of a chat request that are passed on. Others are
// refused, because some of them change the cost of a request.
var chatFields = map[string]bool{
	"model": true, "messages": true, "max_tokens": true, "stream": true, "stream_options": true,
	"min_tokens": true, "temperature": true, "top_p": true, "top_k": true, "min_p": true, "stop": true, "seed": true,
	"presence_penalty": true, "frequency_penalty": true, "repetition_penalty": true,
	"response_format": true, "user": true, "metadata": true, "n": true,
}

func (s *Server) parseChat(doc *config.Document, j *job, r *http.Request) error {
	body, err := readBody(j.out, r, s.opts.MaxBodyBytes)
	if err != nil {
		return err
	}
	fields, err := objectFields(body)
	if err != nil {
		return err
	}
	if err := checkFields(fields); err != nil {
		return err
	}
	var model string
	if err := member(fields, "model", &model); err != nil {
		return err
	}
	svc, ok := doc.Service(model)
	if !ok || svc.Kind != config.ModelService {
		return failure.New(failure.NotFound, "name a model service of the configuration", "model %q does not exist", model)
	}
	j.service, j.repeatable = svc, true
	if j.maxTokens, err = maxTokens(fields, svc); err != nil {
		return err
	}
	if fields["stream"] != nil {
		if err := member(fields, "stream", &j.stream); err != nil {
			return err
		}
	}
	messages, err := countMessages(fields["messages"])
	if err != nil {
		return err
	}
	prompt := len(fields["messages"]) + len(fields["response_format"])
	j.amount = ledger.Tokens(prompt) + templateTokens + ledger.Tokens(messages)*messageTokens + ledger.Tokens(j.maxTokens)
	j.affinity = prefixHash(svc.Name, fields["messages"])
	j.fingerprint = fingerprint(j.workspace.Name, svc.Name, r.Method, chatPath, body)
	j.body, err = engineBody(fields, j.maxTokens)
	return err
}

func checkFields(fields map[string]json.RawMessage) error {
	for name := range fields {
		if !chatFields[name] {
			return failure.New(failure.Invalid, "leave the member out", "member %q is not supported", name)
		}
	}
	if n := fields["n"]; n != nil && string(n) != "1" {
		return failure.New(failure.Invalid, "send one request per answer", "member \"n\" must be 1")
	}
	return nil
}

func member(fields map[string]json.RawMessage, name string, v any) error {
	raw := fields[name]
	if raw == nil || string(raw) == "null" || json.Unmarshal(raw, v) != nil {
		return failure.New(failure.Invalid, "see the callers' API", "member %q is missing or has the wrong type", name)
	}
	return nil
}

// maxTokens returns the bound of the output: what the caller asks for, and at
// most what the service allows.
func maxTokens(fields map[string]json.RawMessage, svc config.Service) (int64, error) {
	limit := svc.MaxOutputTokens
	if fields["max_tokens"] == nil {
		if limit <= 0 {
			return 0, failure.New(failure.Invalid, "send max_tokens", "service %q has no default for max_tokens", svc.Name)
		}
		return limit, nil
	}
	var n int64
	if err := member(fields, "max_tokens", &n); err != nil || n < 1 || n > hugeTokens {
		return 0, failure.New(failure.Invalid, "send an integer between 1 and 16777216", "max_tokens is out of range")
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n, nil
}

// countMessages checks that messages hold text only: the tokens of a text are
// at most its bytes, which does not hold for images.
func countMessages(raw json.RawMessage) (int, error) {
	var messages []json.RawMessage
	if json.Unmarshal(raw, &messages) != nil || len(messages) == 0 {
		return 0, failure.New(failure.Invalid, "send a list of messages with role and content", "member \"messages\" is missing or malformed")
	}
	for i, m := range messages {
		fields, err := objectFields(m)
		if err != nil || !isString(fields["role"]) || !isText(fields["content"]) || !onlyMembers(fields, "role", "content", "name") {
			return 0, failure.New(failure.Invalid, "send only a role, a name and text as content", "message %d is malformed", i)
		}
	}
	return len(messages), nil
}

func onlyMembers(fields map[string]json.RawMessage, names ...string) bool {
	for name := range fields {
		if !slices.Contains(names, name) {
			return false
		}
	}
	return true
}

func isString(raw json.RawMessage) bool {
	var text *string
	return json.Unmarshal(raw, &text) == nil && text != nil
}

// isText accepts a string or a list of parts of type text.
func isText(raw json.RawMessage) bool {
	if isString(raw) {
		return true
	}
	var parts []json.RawMessage
	if json.Unmarshal(raw, &parts) != nil || len(parts) == 0 {
		return false
	}
	for _, part := range parts {
		fields, err := objectFields(part)
		if err != nil || string(fields["type"]) != `"text"` || !isString(fields["text"]) || !onlyMembers(fields, "type", "text") {
			return false
		}
	}
	return true
}

func prefixHash(service string, messages []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // a hash never fails
	_, _ = h.Write(messages[:min(len(messages), affinityBytes)])
	return max(1, h.Sum64()) // 0 means no affinity
}

// engineBody returns the request for the engine, which is always a stream.
func engineBody(fields map[string]json.RawMessage, maxTokens int64) ([]byte, error) {
	limit, err := json.Marshal(maxTokens)
	if err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = limit
	return json.Marshal(fields)
}
