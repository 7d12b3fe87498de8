// Command standin-app runs the stand-in for an app server in tests and the demo.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/standins/app"
	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// crashExitCode distinguishes an injected crash from other exits.
const crashExitCode = 3

type flags struct {
	Listen  string `default:"127.0.0.1:0" help:"Address to listen on."`
	ID      string `name:"id" required:"" help:"Endpoint id."`
	Journal bool   `help:"Print a line for each executed request."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Stand-in for an app server in tests and the demo."))
	a := app.New(app.Options{ID: f.ID, OnCrash: func() { os.Exit(crashExitCode) }})
	if f.Journal {
		a.Journal = os.Stdout
	}
	k.FatalIfErrorf(endpoint.Main(f.Listen, a))
}
