// Command standin-app runs the stand-in of an app server for tests and the demo.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/standins/app"
	"github.com/clementinerack/clementinerack/standins/endpoint"
)

const crashStatus = 3 // distinguishes a crash on request from other exits

type flags struct {
	Listen  string `default:"127.0.0.1:0" help:"Address to listen on."`
	ID      string `name:"id" required:"" help:"Endpoint id."`
	Journal bool   `help:"Print a line for each execution."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Stand-in of an app server for tests and the demo."))
	a := app.New(app.Options{ID: f.ID, OnCrash: func() { os.Exit(crashStatus) }})
	if f.Journal {
		a.Journal = os.Stdout
	}
	k.FatalIfErrorf(endpoint.Main(f.Listen, a))
}
