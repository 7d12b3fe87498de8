package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/burn"
	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

const declarations = `
[deployment]
domains = ikeja
[workspace clinic]
key-sha256 = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
[budget clinic/main]
opening = 5000
`

// stubBackend is a fleet of two instances; entry-2 takes over a generation a
// second after the apply, unless it is stuck.
type stubBackend struct {
	operator.Backend
	applied time.Time
	stuck   bool
	fault   string
}

func (b *stubBackend) Config(context.Context) (*config.Document, error) {
	return nil, failure.New(failure.NotFound, "", "none")
}

func (b *stubBackend) Apply(_ context.Context, _ operator.Issuer, req operator.ApplyRequest) (r operator.ApplyResult, err error) {
	b.applied = time.Now()
	r.Generation = 1
	for _, o := range req.Openings {
		r.Openings = append(r.Openings, operator.OpeningResult{Opening: o, Changed: b.fault == "", Fault: b.fault})
	}
	return r, nil
}

func (b *stubBackend) Instances(context.Context) (operator.InstancesReport, error) {
	second := operator.InstanceStatus{ID: "entry-2", Answered: true}
	if !b.stuck && time.Since(b.applied) >= time.Second {
		second.Generation = 1
	}
	return operator.InstancesReport{Instances: []operator.InstanceStatus{{ID: "entry-1", Answered: true, Generation: 1}, second}}, nil
}

func (b *stubBackend) Burn(context.Context) (operator.BurnReport, error) {
	s := burn.Series{Service: "llm", Workspace: "clinic", Target: 0.95, Truncated: 2, Refused: map[failure.Kind]uint64{failure.NoEndpoint: 3}}
	for i, length := range burn.Windows {
		s.Windows = append(s.Windows, burn.Window{Length: length, Good: 95, Bad: 5, Burn: float64(i) + 0.5})
	}
	return operator.BurnReport{Report: burn.Report{Series: []burn.Series{s}}, Silent: []string{"entry-2"}}, nil
}

func (b *stubBackend) Stop(_ context.Context, _ operator.Issuer, req operator.StopRequest) (operator.StopResult, error) {
	if req.Instance != "entry-1" {
		return operator.StopResult{}, failure.New(failure.NotFound, "list the instances with the query instances", "not known")
	}
	return operator.StopResult{Running: 3}, nil
}

func (b *stubBackend) Spent(context.Context, operator.BudgetSelection) (operator.SpentReport, error) {
	all := []operator.BudgetStatus{
		{Budget: ledger.BudgetKey{Workspace: "clinic", Budget: "main"}, Paid: 100, Now: &operator.CurrentUsage{Charged: 12, Reserved: 34}},
		{Budget: ledger.BudgetKey{Workspace: "clinic", Budget: "old"}, Now: &operator.CurrentUsage{Charged: 56, UnreportedShards: []string{"yaba/1"}}},
	}
	return operator.SpentReport{Budgets: all, Silent: []string{"entry-2"}}, nil
}

func (b *stubBackend) TopUp(_ context.Context, by operator.Issuer, req operator.TopUpRequest) (operator.BudgetResult, error) {
	if by.Command == "used" {
		return operator.BudgetResult{}, failure.New(failure.Conflict, "choose another command id", "it was used")
	}
	return operator.BudgetResult{Changed: true, Budget: operator.BudgetStatus{Budget: req.Budget, Paid: req.Amount}}, nil
}

// transport serves the host "one" without a network; others refuse connections.
type transport struct{ http.Handler }

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host != "one" {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	return w.Result(), nil
}

// Guards against a manual that lacks a command or an exit code of the tool.
func TestManual(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	var flags cli
	parser, err := kong.New(&flags)
	if err != nil {
		t.Fatal(err)
	}
	for _, leaf := range parser.Model.Leaves(false) {
		name := strings.TrimPrefix(leaf.Path(), parser.Model.Name+" ")
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("command %q is missing", name)
		}
	}
	for code := exitDone; code <= exitUnreachable; code++ {
		if !strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("exit code %d is missing", code)
		}
	}
}

// Guards against exit codes and texts that scripts and operators rely on.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	file, token := filepath.Join(dir, "fleet.ini"), filepath.Join(dir, "token")
	for path, text := range map[string]string{file: declarations, token: "secret\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		desc    string
		args    string
		backend stubBackend
		code    int
		want    []string
	}{
		{desc: "command", args: "--address one topup clinic/main 50", want: []string{"command id: ", "clinic/main  50"}},
		{desc: "given command id, as JSON", args: "--address one --output json --command-id c7 topup clinic/main 50", want: []string{`"command": "c7"`, `"paid": 50`}},
		{desc: "second address", args: "--address gone --address one topup clinic/main 50", want: []string{"clinic/main"}},
		{desc: "unreachable", args: "--address gone topup clinic/main 50", code: exitUnreachable, want: []string{"remedy: "}},
		{desc: "conflict", args: "--address one --command-id used topup clinic/main 50", code: exitConflict, want: []string{"it was used", "remedy: choose another"}},
		{desc: "wrong argument", args: "topup main 50", code: exitUsage, want: []string{"workspace/budget"}},
		{desc: "unknown command", args: "top-up", code: exitUsage, want: []string{"--help"}},
		{desc: "help", args: "--help", want: []string{"Exit codes: 0 done"}},
		{desc: "stop", args: "--address one stop entry-1", want: []string{"entry-1 is stopping and finishes 3 requests"}},
		{desc: "stop of an unknown instance", args: "--address one stop entry-9", code: exitFailed, want: []string{"remedy: list the instances"}},
		{desc: "spent", args: "--address one spent", want: []string{"CHARGED NOW", "100   12", "at least 56", "no owner of yaba/1 answered", "no answer from: entry-2"}},
		{desc: "burn", args: "--address one report burn", want: []string{"BURN 5m", "BURN 6h", "0.50", "2.50", "no-endpoint=3", "no answer from: entry-2"}},
		{desc: "burn as JSON", args: "--address one --output json report burn", want: []string{`"burn": 1.5`, `"truncated": 2`, `"no-endpoint": 3`, `"entry-2"`}},
		{desc: "missing file", args: "--address one plan nowhere.ini", code: exitFailed, want: []string{"nowhere.ini"}},
		{desc: "plan", args: "--address one plan " + file, want: []string{"+ add workspace clinic", "3 steps"}},
		{desc: "diff", args: "--address one diff " + file, want: []string{"+ [budget clinic/main]", "+ opening = 5000"}},
		{desc: "apply and wait", args: "--address one apply --wait " + file, want: []string{"generation  1", "5000"}},
		{desc: "stuck instance", args: "--address one apply --wait " + file, backend: stubBackend{stuck: true}, code: exitPartly, want: []string{"not confirmed  entry-2"}},
		{desc: "failed opening", args: "--address one apply " + file, backend: stubBackend{fault: "store down"}, code: exitPartly, want: []string{"store down", "opening of clinic/main"}},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				args := append([]string{"--token-file", token, "--operator", "ada"}, strings.Fields(c.args)...)
				handler := operator.NewHandler(&c.backend, settings.NewSecret([]byte("secret")), log)
				if code := run(t.Context(), args, streams{&out, &out}, transport{handler}); code != c.code {
					t.Errorf("exit code %d, want %d", code, c.code)
				}
				for _, w := range c.want {
					if !strings.Contains(out.String(), w) {
						t.Errorf("%q is missing in:\n%s", w, out.String())
					}
				}
			})
		})
	}
}
