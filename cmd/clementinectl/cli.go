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

// Exit codes; helpDescription explains them.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitPartial     = 4
	exitUnreachable = 5
)

const helpDescription = `Queries and commands for a Clementinerack fleet.

Exit codes: 0 done; 1 failed; 2 usage; 3 conflict with another change; 4 partly
confirmed (some instances or opening amounts are missing); 5 unreachable, or the
outcome is uncertain. After code 5 repeat a command with the --command-id that
was printed; it takes effect once.`

// callTimeout limits one HTTP call. It is longer than the 30 s of the server.
const callTimeout = 35 * time.Second

// cli declares the flags and commands.
type cli struct {
	Address   []string `help:"Address of an operators' API (repeatable). If one is unreachable, the next one is tried." default:"127.0.0.1:8081" env:"CLEMENTINERACK_ADDRESS"`
	TokenFile string   `help:"File with the operators' token, accessible to its owner only." env:"CLEMENTINERACK_TOKEN_FILE"`
	CAFile    string   `name:"ca-file" help:"PEM file of the CA that signed the API's certificate; turns TLS on." env:"CLEMENTINERACK_CA_FILE"`
	Operator  string   `help:"Name under which commands are recorded." env:"CLEMENTINERACK_OPERATOR,USER"`
	Output    string   `help:"Output format: text or json." enum:"text,json" default:"text"`
	CommandID string   `name:"command-id" help:"Id of the command. Give the printed id to repeat a command whose outcome is uncertain. Default: random."`

	Spent       spentCmd       `cmd:"" help:"Show the balances and charges of budgets."`
	Running     runningCmd     `cmd:"" help:"List requests in flight."`
	Draining    drainingCmd    `cmd:"" help:"List endpoints and instances that take no new work."`
	Instances   instancesCmd   `cmd:"" help:"List instances, including those that do not answer."`
	Config      configCmd      `cmd:"" help:"Print the configuration as JSON."`
	Stranded    strandedCmd    `cmd:"" help:"List grants whose shard state was lost."`
	Topup       topupCmd       `cmd:"" help:"Pay tokens into a budget."`
	Retire      retireCmd      `cmd:"" help:"Drain an endpoint: it gets no new work, and requests in flight finish."`
	Restore     restoreCmd     `cmd:"" help:"Let a retired endpoint get new work again."`
	Stop        stopCmd        `cmd:"" help:"Stop an instance gracefully."`
	Reconfigure reconfigureCmd `cmd:"" help:"Change the model, version, adapters or role of an engine."`
	Reclaim     reclaimCmd     `cmd:"" help:"Return a part of a stranded grant to its budget. By running this command, the operator states that the instances of that epoch have ended; the command does not verify it."`
	Check       checkCmd       `cmd:"" help:"Check a configuration before it is sent: errors, entries that can never match, contradicting limits, and what differs from the version in force. Calls no instance."`
	Plan        planCmd        `cmd:"" help:"List the steps of an apply."`
	Diff        diffCmd        `cmd:"" help:"Show the values that an apply would change."`
	Apply       applyCmd       `cmd:"" help:"Put declarations in force."`
	Report      struct {
		Burn burnCmd `cmd:"" help:"Show the burn rates of the error budgets."`
	} `cmd:"" help:"Reports."`
}

// stdStreams are the standard output and the standard error of the tool.
type stdStreams struct{ out, err io.Writer }

// session is the context in which a command runs.
type session struct {
	ctx       context.Context
	client    *operator.Client
	commandID string
	asJSON    bool
	stdStreams
}

// partialError ends the tool with exitPartial.
type partialError struct{ message string }

func (e partialError) Error() string { return e.message }

// exitRequest is the value of the panic that carries an exit code from kong to
// run.
type exitRequest int

// run executes the tool and returns its exit code. The transport carries the calls
// to the API.
func run(ctx context.Context, args []string, std stdStreams, transport http.RoundTripper) (code int) {
	defer func() {
		if r := recover(); r != nil {
			request, ok := r.(exitRequest)
			if !ok {
				panic(r)
			}
			code = int(request)
		}
	}()
	var flags cli
	parser, err := kong.New(&flags, kong.Name("clementinectl"), kong.Description(helpDescription),
		kong.Writers(std.out, std.err), kong.Exit(func(c int) { panic(exitRequest(c)) }))
	if err != nil {
		return reportError(std, false, err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(std.err, "usage: %v; see clementinectl --help\n", err)
		return exitUsage
	}
	s := &session{ctx: ctx, asJSON: flags.Output == "json", stdStreams: std}
	if !isOffline(command.Command()) {
		if flags.TokenFile == "" || flags.Operator == "" {
			_, _ = fmt.Fprintln(std.err, "usage: --token-file and --operator are required; see clementinectl --help")
			return exitUsage
		}
		s, err = flags.newSession(ctx, std, transport)
	}
	if err == nil {
		err = command.Run(s)
	}
	return reportError(std, flags.Output == "json", err)
}

// newSession reads the token and sets up the client as the flags say.
func (c *cli) newSession(ctx context.Context, std stdStreams, transport http.RoundTripper) (*session, error) {
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
		addresses = addScheme("https://", addresses)
	}
	commandID := c.CommandID
	if commandID == "" {
		commandID = rand.Text()
	}
	client := &operator.Client{Addresses: addresses, Token: token, Operator: c.Operator,
		HTTP: &http.Client{Transport: transport, Timeout: callTimeout, CheckRedirect: refuseRedirect}}
	return &session{ctx, client, commandID, c.Output == "json", std}, nil
}

// addScheme prefixes the addresses that have no scheme.
func addScheme(scheme string, addresses []string) []string {
	result := make([]string, len(addresses))
	for i, a := range addresses {
		if !strings.Contains(a, "://") {
			a = scheme + a
		}
		result[i] = a
	}
	return result
}

// refuseRedirect prevents the token from being sent to another server.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// reportError prints an error, if there is one, and returns the exit code.
func reportError(std stdStreams, asJSON bool, err error) int {
	if err == nil {
		return exitDone
	}
	code, failureErr := classifyError(err)
	if asJSON {
		writeJSON(std.err, failureErr)
		return code
	}
	_, _ = fmt.Fprintf(std.err, "error: %s\n", failureErr.Message)
	if failureErr.Remedy != "" {
		_, _ = fmt.Fprintf(std.err, "remedy: %s\n", failureErr.Remedy)
	}
	return code
}

// classifyError returns the exit code of an error and the error to print.
func classifyError(err error) (int, *failure.Error) {
	var partialErr partialError
	var pathErr *os.PathError
	switch {
	case errors.As(err, &partialErr):
		return exitPartial, failure.New("partly-confirmed", "repeat the command with the same command id, or check the instances", "%s", partialErr.message)
	case errors.As(err, &pathErr):
		return exitFailed, failure.New(failure.Invalid, "give a readable file", "%v", err)
	}
	failureErr := failure.From(err)
	switch failureErr.Kind {
	case failure.Conflict:
		return exitConflict, failureErr
	case failure.Unavailable, failure.Uncertain, failure.Timeout, failure.NotReady:
		return exitUnreachable, failureErr
	}
	return exitFailed, failureErr
}
