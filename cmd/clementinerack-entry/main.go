// Command clementinerack-entry is the daemon of one entry instance on the users'
// platform.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/pkg/hedge"
	"github.com/clementinerack/clementinerack/pkg/signals"
	"github.com/clementinerack/clementinerack/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// flags are the command line.
type flags struct {
	Settings       string             `help:"Settings file of the platform." env:"CLEMENTINERACK_BOOT" required:"" type:"existingfile"`
	SecondAttempts map[string]float64 `help:"Share of the repeatable requests to a service that may get a second attempt if the first one is slow, as SERVICE=SHARE;..., '*' for all others. Default: none." env:"CLEMENTINERACK_SECOND_ATTEMPTS"`
	WaitForRights  bool               `help:"Let requests that find too few rights wait in order for those that become free. Default: each one searches for a short time and is refused then." env:"CLEMENTINERACK_WAIT_FOR_RIGHTS"`

	CheckSettings bool `help:"Check the settings and exit with 0 if they are valid, otherwise with 2."`
}

func main() {
	sig := signals.Handle()
	var f flags
	kong.Parse(&f, kong.Name("clementinerack-entry"),
		kong.Description("Entry instance on the users' platform. Exit codes: 0 stopped, 1 failed, 2 invalid settings."))
	s, err := platform.LoadSettings(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if err := hedge.Shares(f.SecondAttempts).Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if f.CheckSettings {
		fmt.Println("settings are valid")
		return
	}
	if err := platform.Run(s, f.Settings, platform.Features{SecondAttempts: f.SecondAttempts, WaitForRights: f.WaitForRights}, sig); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
