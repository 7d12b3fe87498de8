// Command standin-platform serves the platform store stand-in. It prints the
// line "listening <address>" when it is ready, and stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	standin "github.com/clementinerack/clementinerack/standins/platform"
)

const (
	stopTimeout   = 5 * time.Second
	headerTimeout = 5 * time.Second
)

type flags struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0" placeholder:"HOST:PORT"`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Name("standin-platform"), kong.Description("Stand-in for the platform store."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.FatalIfErrorf(run(ctx, f.Listen, os.Stdout))
}

// run serves until ctx ends, then lets the running calls finish.
func run(ctx context.Context, address string, out io.Writer) error {
	handler, err := standin.New()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Fprintln(out, "listening", listener.Addr())
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	handler.Close()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(limited), "stop")
}
