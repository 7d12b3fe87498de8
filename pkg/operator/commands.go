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
	command(s, mux, "topup", s.backend.TopUp)
	command(s, mux, "reclaim", s.backend.Reclaim)
	command(s, mux, "retire", s.backend.Retire)
	command(s, mux, "restore", s.backend.Restore)
	command(s, mux, "reconfigure", s.backend.Reconfigure)
	command(s, mux, "apply", s.backend.Apply)
	command(s, mux, "stop", s.backend.Stop)
}

// envelope is the body of a command.
type envelope struct {
	Command string          `json:"command"`
	Request json.RawMessage `json:"request"`
}

func command[Req, Result any](s *server, mux *http.ServeMux, name string, run func(context.Context, Issuer, Req) (Result, error)) {
	mux.HandleFunc("POST "+CommandsPath+name, func(w http.ResponseWriter, r *http.Request) {
		var req Req
		by, err := readCommand(w, r, &req)
		if err != nil {
			failure.Write(w, err)
			return
		}
		result, err := run(r.Context(), by, req)
		entry := s.log.WithFields(logrus.Fields{"command": by.Command, "operator": by.Operator, "verb": name})
		if err != nil {
			entry.WithError(err).Warn("operator's command failed")
		} else {
			entry.Info("operator's command done")
		}
		answer(w, result, err)
	})
}

func readCommand(w http.ResponseWriter, r *http.Request, req any) (Issuer, error) {
	var env envelope
	if err := strictly(json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)), &env); err != nil {
		return Issuer{}, malformed(err)
	}
	by := Issuer{Command: env.Command, Operator: r.Header.Get(OperatorHeader)}
	if !commandPattern.MatchString(by.Command) {
		return by, failure.New(failure.Invalid, "send 1 to 64 letters, digits, dots, colons, underscores or hyphens, different for each command",
			"the command id %q is not valid", by.Command)
	}
	if !operatorPattern.MatchString(by.Operator) {
		return by, failure.New(failure.Invalid, "send the operator's name in the header "+OperatorHeader, "the operator's name %q is not valid", by.Operator)
	}
	if err := strictly(json.NewDecoder(bytes.NewReader(env.Request)), req); err != nil {
		return by, malformed(err)
	}
	return by, nil
}

// strictly refuses unknown fields: a misspelt field must not change a command.
func strictly(d *json.Decoder, v any) error {
	d.DisallowUnknownFields()
	return d.Decode(v)
}

func malformed(err error) error {
	return failure.New(failure.Invalid, "use a tool of the same release", "the command cannot be read: %v", err)
}
