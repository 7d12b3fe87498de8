// Command clementinerackd is the daemon of one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/daemon"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// flags are the command line.
type flags struct {
	Settings      string `help:"INI file with the settings." required:"" type:"existingfile"`
	CheckSettings bool   `help:"Check the settings and exit with 0 if they are valid, otherwise with 2."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("clementinerackd"),
		kong.Description("Entry instance of a router fleet with prepaid token budgets. Exit codes: 0 stopped, 1 failed, 2 invalid settings."))
	s, err := settings.Load(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if f.CheckSettings {
		fmt.Println("settings are valid")
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run runs the daemon until it receives SIGTERM or SIGINT.
func run(s *settings.Settings) error {
	log := newLogger(s.Log)
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return d.Run(ctx)
}

// newLogger returns a logger on standard error with the configured level and
// format.
func newLogger(s settings.Log) *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		log.SetLevel(level)
	}
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
