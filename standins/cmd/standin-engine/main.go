// Command standin-engine runs the stand-in of a model engine for tests and the
// demo.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/standins/endpoint"
	"github.com/clementinerack/clementinerack/standins/engine"
)

const crashStatus = 3 // distinguishes a crash on request from other exits

type flags struct {
	Listen        string        `default:"127.0.0.1:0" help:"Address to listen on."`
	ID            string        `name:"id" required:"" help:"Endpoint id."`
	Model         string        `default:"demo" help:"Model that is loaded at the start."`
	Slots         int           `default:"8" help:"Requests that generate at the same time."`
	TokenInterval time.Duration `default:"20ms" help:"Time between two tokens of a stream."`
	LoadLag       time.Duration `default:"500ms" help:"Age of the load report."`
	Journal       bool          `help:"Print a line for each execution."`
	IgnoreFencing bool          `help:"Accept orders with an old fencing number."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Stand-in of a model engine for tests and the demo."))
	e := engine.New(engine.Options{
		ID: f.ID, Model: f.Model, Slots: f.Slots, TokenInterval: f.TokenInterval, LoadLag: f.LoadLag,
		IgnoreFencing: f.IgnoreFencing, OnCrash: func() { os.Exit(crashStatus) },
	})
	if f.Journal {
		e.Journal = os.Stdout
	}
	k.FatalIfErrorf(endpoint.Main(f.Listen, e))
}
