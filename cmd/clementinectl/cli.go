package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitPartly      = 4
	exitUnreachable = 5
)

const description = `Queries and commands for a Clementinerack fleet.

Exit codes: 0 done; 1 failed; 2 usage; 3 conflict with another change; 4 partly
confirmed (some instances or opening amounts are missing); 5 unreachable, or the
outcome is uncertain. After code 5 repeat a command with the --command-id that
was printed; it takes effect once.`

// callTimeout bounds one HTTP call. The server gives up after 30 s.
const callTimeout = 35 * time.Second

type cli struct {
	Address   []string `help:"Address of an operators' API (repeatable). The next one is tried when one is unreachable." default:"127.0.0.1:8081" env:"CLEMENTINERACK_ADDRESS"`
	TokenFile string   `help:"File with the operators' token, accessible to its owner only." env:"CLEMENTINERACK_TOKEN_FILE" required:""`
	CAFile    string   `name:"ca-file" help:"PEM file of the CA that signed the API's certificate; turns TLS on." env:"CLEMENTINERACK_CA_FILE"`
	Operator  string   `help:"Name under which commands are recorded." env:"CLEMENTINERACK_OPERATOR,USER" required:""`
	Output    string   `help:"text or json." enum:"text,json" default:"text"`
	CommandID string   `name:"command-id" help:"Id of the command. Give the printed id to repeat a command whose outcome is uncertain. Default: random."`

	Spent       spentCmd       `cmd:"" help:"Show what budgets hold and have charged."`
	Running     runningCmd     `cmd:"" help:"List requests in flight."`
	Draining    drainingCmd    `cmd:"" help:"List endpoints and instances that are leaving."`
	Instances   instancesCmd   `cmd:"" help:"List instances, also those that do not answer."`
	Config      configCmd      `cmd:"" help:"Print the configuration as JSON."`
	Stranded    strandedCmd    `cmd:"" help:"List grants whose shard state was lost."`
	Topup       topupCmd       `cmd:"" help:"Pay tokens into a budget."`
	Retire      retireCmd      `cmd:"" help:"Take new work off an endpoint; requests in flight finish."`
	Restore     restoreCmd     `cmd:"" help:"Give new work to a retired endpoint."`
	Stop        stopCmd        `cmd:"" help:"Stop an instance gracefully."`
	Reconfigure reconfigureCmd `cmd:"" help:"Change the model, version, adapters or role of an engine."`
	Reclaim     reclaimCmd     `cmd:"" help:"Return a part of a stranded grant. States that the instances of that epoch are gone."`
	Plan        planCmd        `cmd:"" help:"List the steps of an apply."`
	Diff        diffCmd        `cmd:"" help:"Show the values that an apply would change."`
	Apply       applyCmd       `cmd:"" help:"Put declarations in force."`
	Report      struct {
		Burn burnCmd `cmd:"" help:"Show the use of the error budgets."`
	} `cmd:"" help:"Reports."`
}

type streams struct{ out, err io.Writer }

// session is what a command needs to run.
type session struct {
	ctx     context.Context
	client  *operator.Client
	command string
	json    bool
	streams
}

// partlyError ends the tool with exitPartly.
type partlyError struct{ text string }

func (e partlyError) Error() string { return e.text }

// exited carries the code with which kong wants to end the process.
type exited int

// run executes the tool and returns its exit code.
func run(ctx context.Context, args []string, std streams, transport http.RoundTripper) (code int) {
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(exited)
			if !ok {
				panic(r)
			}
			code = int(c)
		}
	}()
	var flags cli
	parser, err := kong.New(&flags, kong.Name("clementinectl"), kong.Description(description),
		kong.Writers(std.out, std.err), kong.Exit(func(c int) { panic(exited(c)) }))
	if err != nil {
		return report(std, false, err)
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(std.err, "usage: %v; see clementinectl --help\n", err)
		return exitUsage
	}
	s, err := flags.session(ctx, std, transport)
	if err == nil {
		err = chosen.Run(s)
	}
	return report(std, flags.Output == "json", err)
}

func (c *cli) session(ctx context.Context, std streams, transport http.RoundTripper) (*session, error) {
	token, err := settings.ReadSecret(c.TokenFile)
	if err != nil {
		return nil, failure.New(failure.Invalid, "give a readable file with --token-file", "%v", err)
	}
	addresses := c.Address
	if c.CAFile != "" {
		tlsConfig, err := settings.TLSFiles{CA: c.CAFile}.ClientConfig()
		if err != nil {
			return nil, failure.New(failure.Invalid, "give a PEM file with --ca-file", "%v", err)
		}
		if t, ok := transport.(*http.Transport); ok {
			t.TLSClientConfig = tlsConfig
		}
		addresses = withScheme("https://", addresses)
	}
	id := c.CommandID
	if id == "" {
		id = rand.Text()
	}
	client := &operator.Client{Addresses: addresses, Token: token, Operator: c.Operator,
		HTTP: &http.Client{Transport: transport, Timeout: callTimeout, CheckRedirect: noRedirect}}
	return &session{ctx, client, id, c.Output == "json", std}, nil
}

func withScheme(scheme string, addresses []string) []string {
	out := make([]string, len(addresses))
	for i, a := range addresses {
		if !strings.Contains(a, "://") {
			a = scheme + a
		}
		out[i] = a
	}
	return out
}

// noRedirect keeps the token from being sent elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// report prints an error and returns the exit code.
func report(std streams, asJSON bool, err error) int {
	if err == nil {
		return exitDone
	}
	code, shown := exitCode(err)
	if asJSON {
		writeJSON(std.err, shown)
		return code
	}
	_, _ = fmt.Fprintf(std.err, "error: %s\n", shown.Message)
	if shown.Remedy != "" {
		_, _ = fmt.Fprintf(std.err, "remedy: %s\n", shown.Remedy)
	}
	return code
}

func exitCode(err error) (int, *failure.Error) {
	var partly partlyError
	var path *os.PathError
	switch {
	case errors.As(err, &partly):
		return exitPartly, failure.New("partly-confirmed", "repeat the command with the same command id, or look at the instances", "%s", partly.text)
	case errors.As(err, &path):
		return exitFailed, failure.New(failure.Invalid, "give a readable file", "%v", err)
	}
	typed := failure.From(err)
	switch typed.Kind {
	case failure.Conflict:
		return exitConflict, typed
	case failure.Unavailable, failure.Uncertain, failure.Timeout, failure.NotReady:
		return exitUnreachable, typed
	}
	return exitFailed, typed
}
