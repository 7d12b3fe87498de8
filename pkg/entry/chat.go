package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"slices"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

const (
	// templateOverheadTokens and messageOverheadTokens cover the tokens that chat
	// templates add to the text: special tokens at the start and the end, and a
	// role marker around each message.
	templateOverheadTokens = 64
	messageOverheadTokens  = 16
	// maxAllowedTokens bounds max_tokens. It exceeds the context of any model.
	maxAllowedTokens = 1 << 24
	// maxAffinityBytes is the length of the messages' prefix whose hash selects an
	// endpoint that may have the prefix in its cache. System prompts and patient
	// histories are longer than this.
	maxAffinityBytes = 1024
)

// allowedChatMembers are the members of a chat request that are sent to the
// engine. Others are rejected, because some of them change the cost of a request.
var allowedChatMembers = map[string]bool{
	"model": true, "messages": true, "max_tokens": true, "stream": true, "stream_options": true,
	"min_tokens": true, "temperature": true, "top_p": true, "top_k": true, "min_p": true, "stop": true, "seed": true,
	"presence_penalty": true, "frequency_penalty": true, "repetition_penalty": true,
	"response_format": true, "user": true, "metadata": true, "n": true,
}

// parseChat parses a chat request. Its amount is an upper bound of the cost, since
// a text has at most as many tokens as bytes.
func (s *Server) parseChat(doc *config.Document, j *job, r *http.Request) error {
	body, err := readBody(j.responder, r, s.opts.MaxBodyBytes)
	if err != nil {
		return err
	}
	fields, err := decodeObject(body)
	if err != nil {
		return err
	}
	if err := checkMembers(fields); err != nil {
		return err
	}
	var model string
	if err := decodeMember(fields, "model", &model); err != nil {
		return err
	}
	svc, ok := doc.Service(model)
	if !ok || svc.Kind != config.ModelService {
		return failure.New(failure.NotFound, "name a model service of the configuration", "model %q does not exist", model)
	}
	j.service, j.repeatable = svc, true
	if j.maxTokens, err = parseMaxTokens(fields, svc); err != nil {
		return err
	}
	if fields["stream"] != nil {
		if err := decodeMember(fields, "stream", &j.stream); err != nil {
			return err
		}
	}
	messages, err := parseMessages(fields["messages"])
	if err != nil {
		return err
	}
	promptBytes := len(fields["messages"]) + len(fields["response_format"])
	j.amount = ledger.Tokens(promptBytes) + templateOverheadTokens + ledger.Tokens(len(messages))*messageOverheadTokens + ledger.Tokens(j.maxTokens)
	j.affinity = hashPrefix(svc.Name, fields["messages"])
	j.fingerprint = computeFingerprint(j.workspace.Name, svc.Name, r.Method, chatPath, body)
	j.traits = messageTraits(svc.Name, messages)
	j.body, err = encodeEngineBody(fields, j.maxTokens)
	return err
}

func checkMembers(fields map[string]json.RawMessage) error {
	for name := range fields {
		if !allowedChatMembers[name] {
			return failure.New(failure.Invalid, "leave the member out", "member %q is not supported", name)
		}
	}
	if n := fields["n"]; n != nil && string(n) != "1" {
		return failure.New(failure.Invalid, "send one request per answer", "member \"n\" must be 1")
	}
	return nil
}

// decodeMember decodes a required member of an object into v.
func decodeMember(fields map[string]json.RawMessage, name string, v any) error {
	raw := fields[name]
	if raw == nil || string(raw) == "null" || json.Unmarshal(raw, v) != nil {
		return failure.New(failure.Invalid, "see the callers' API", "member %q is missing or has the wrong type", name)
	}
	return nil
}

// parseMaxTokens returns the bound of the output in tokens: the caller's
// max_tokens, limited by that of the service.
func parseMaxTokens(fields map[string]json.RawMessage, svc config.Service) (int64, error) {
	limit := svc.MaxOutputTokens
	if fields["max_tokens"] == nil {
		if limit <= 0 {
			return 0, failure.New(failure.Invalid, "send max_tokens", "service %q has no default for max_tokens", svc.Name)
		}
		return limit, nil
	}
	var n int64
	if err := decodeMember(fields, "max_tokens", &n); err != nil || n < 1 || n > maxAllowedTokens {
		return 0, failure.New(failure.Invalid, "send an integer between 1 and 16777216", "max_tokens is out of range")
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n, nil
}

// parseMessages returns the messages and checks that they hold text only. A text has at
// most as many tokens as bytes, which is not true of images.
func parseMessages(raw json.RawMessage) ([]json.RawMessage, error) {
	var messages []json.RawMessage
	if json.Unmarshal(raw, &messages) != nil || len(messages) == 0 {
		return nil, failure.New(failure.Invalid, "send a list of messages with role and content", "member \"messages\" is missing or malformed")
	}
	for i, m := range messages {
		fields, err := decodeObject(m)
		if err != nil || !isString(fields["role"]) || !isText(fields["content"]) || !hasOnlyMembers(fields, "role", "content", "name") {
			return nil, failure.New(failure.Invalid, "send only a role, a name and text as content", "message %d is malformed", i)
		}
	}
	return messages, nil
}

// messageTraits returns a trait for each message but the last one, which belongs to the
// request alone. The hash is collision-resistant, because callers choose the messages.
func messageTraits(service string, messages []json.RawMessage) []quarantine.Trait {
	var traits []quarantine.Trait
	for _, m := range messages[:len(messages)-1] {
		h := sha256.New()
		_, _ = h.Write([]byte(service)) // a hash never fails
		_, _ = h.Write([]byte{0})
		_, _ = h.Write(m)
		traits = append(traits, quarantine.Trait(binary.BigEndian.Uint64(h.Sum(nil))))
	}
	return traits
}

func hasOnlyMembers(fields map[string]json.RawMessage, names ...string) bool {
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

// isText reports whether raw is a string or a list of parts of type text.
func isText(raw json.RawMessage) bool {
	if isString(raw) {
		return true
	}
	var parts []json.RawMessage
	if json.Unmarshal(raw, &parts) != nil || len(parts) == 0 {
		return false
	}
	for _, part := range parts {
		fields, err := decodeObject(part)
		if err != nil || string(fields["type"]) != `"text"` || !isString(fields["text"]) || !hasOnlyMembers(fields, "type", "text") {
			return false
		}
	}
	return true
}

// hashPrefix returns the affinity of a request, which is never 0.
func hashPrefix(service string, messages []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // a hash never fails
	_, _ = h.Write(messages[:min(len(messages), maxAffinityBytes)])
	return max(1, h.Sum64()) // 0 would mean no affinity
}

// encodeEngineBody returns the body for the engine, which always asks for a
// stream.
func encodeEngineBody(fields map[string]json.RawMessage, maxTokens int64) ([]byte, error) {
	limit, err := json.Marshal(maxTokens)
	if err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = limit
	return json.Marshal(fields)
}
