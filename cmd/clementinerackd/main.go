// Command clementinerackd is the daemon of one entry instance.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/daemon"
	"github.com/clementinerack/clementinerack/pkg/settings"
	"github.com/clementinerack/clementinerack/pkg/signals"
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
	sig := signals.Handle()
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
	if err := run(s, f.Settings, sig); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run runs the daemon until a stop signal. path is the settings file.
func run(s *settings.Settings, path string, sig *signals.Daemon) error {
	log := newLogger(s.Log)
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	go sig.CheckSettingsOnHangup(func() error {
		_, err := settings.Load(path)
		return err
	}, log)
	return d.Run(sig.StopContext())
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
