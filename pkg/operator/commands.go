package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

func (s *server) registerCommands(mux *http.ServeMux) {
	registerCommand(s, mux, "topup", s.backend.TopUp)
	registerCommand(s, mux, "reclaim", s.backend.Reclaim)
	registerCommand(s, mux, "retire", s.backend.Retire)
	registerCommand(s, mux, "restore", s.backend.Restore)
	registerCommand(s, mux, "reconfigure", s.backend.Reconfigure)
	registerCommand(s, mux, "apply", s.backend.Apply)
	registerCommand(s, mux, "stop", s.backend.Stop)
}

// commandEnvelope is the request body of a command.
type commandEnvelope struct {
	Command string          `json:"command"`
	Request json.RawMessage `json:"request"`
}

// registerCommand serves a command and logs its result.
func registerCommand[Req, Result any](s *server, mux *http.ServeMux, name string, run func(context.Context, Issuer, Req) (Result, error)) {
	mux.HandleFunc("POST "+CommandsPath+name, func(w http.ResponseWriter, r *http.Request) {
		var req Req
		issuer, err := readCommand(w, r, &req)
		if err != nil {
			failure.Write(w, err)
			return
		}
		result, err := run(r.Context(), issuer, req)
		log := s.log.WithFields(logrus.Fields{"command": issuer.Command, "operator": issuer.Operator, "verb": name})
		if err != nil {
			log.WithError(err).Warn("operator command failed")
		} else {
			log.Info("operator command completed")
		}
		writeResult(w, result, err)
	})
}

// readCommand decodes the body of a command into req and checks the command id and
// the operator's name.
func readCommand(w http.ResponseWriter, r *http.Request, req any) (Issuer, error) {
	var envelope commandEnvelope
	if err := decodeStrict(json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)), &envelope); err != nil {
		return Issuer{}, newMalformedError(err)
	}
	issuer := Issuer{Command: envelope.Command, Operator: r.Header.Get(OperatorHeader)}
	if !commandIDPattern.MatchString(issuer.Command) {
		return issuer, failure.New(failure.Invalid, "send 1 to 64 letters, digits, dots, colons, underscores or hyphens, different for each command",
			"the command id %q is not valid", issuer.Command)
	}
	if !operatorPattern.MatchString(issuer.Operator) {
		return issuer, failure.New(failure.Invalid, "send the operator's name in the header "+OperatorHeader, "the operator's name %q is not valid", issuer.Operator)
	}
	if err := decodeStrict(json.NewDecoder(bytes.NewReader(envelope.Request)), req); err != nil {
		return issuer, newMalformedError(err)
	}
	return issuer, nil
}

// decodeStrict decodes the next value into v. It rejects unknown fields, because a
// misspelt optional field would silently change the effect of a command.
func decodeStrict(d *json.Decoder, v any) error {
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// newMalformedError returns failure.Invalid for a command that cannot be decoded.
func newMalformedError(err error) error {
	return failure.New(failure.Invalid, "use a tool of the same release", "the command cannot be read: %v", err)
}
