// Command standin-engine runs the stand-in for a model engine in tests and the
// demo.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/standins/endpoint"
	"github.com/clementinerack/clementinerack/standins/engine"
)

// crashExitCode distinguishes an injected crash from other exits.
const crashExitCode = 3

type flags struct {
	Listen        string        `default:"127.0.0.1:0" help:"Address to listen on."`
	ID            string        `name:"id" required:"" help:"Endpoint id."`
	Model         string        `default:"demo" help:"Model that is loaded at the start."`
	Slots         int           `default:"8" help:"Maximum number of concurrent generations."`
	TokenInterval time.Duration `default:"20ms" help:"Time between two tokens of a stream."`
	LoadLag       time.Duration `default:"500ms" help:"Age of the load in the load report."`
	Journal       bool          `help:"Print a line for each executed request."`
	IgnoreFencing bool          `help:"Accept orders with a stale fencing token."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Stand-in for a model engine in tests and the demo."))
	e := engine.New(engine.Options{
		ID: f.ID, Model: f.Model, Slots: f.Slots, TokenInterval: f.TokenInterval, LoadLag: f.LoadLag,
		IgnoreFencing: f.IgnoreFencing, OnCrash: func() { os.Exit(crashExitCode) },
	})
	if f.Journal {
		e.Journal = os.Stdout
	}
	k.FatalIfErrorf(endpoint.Main(f.Listen, e))
}
