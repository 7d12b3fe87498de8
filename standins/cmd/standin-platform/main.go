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

	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	standin "github.com/clementinerack/clementinerack/standins/platform"
)

const (
	stopTimeout   = 5 * time.Second
	headerTimeout = 5 * time.Second
)

type flags struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0" placeholder:"HOST:PORT"`
	State  string `help:"File from which the contents are read at the start and to which they are written at a stop." placeholder:"FILE"`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Name("standin-platform"), kong.Description("Stand-in for the platform store."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.FatalIfErrorf(run(ctx, f, os.Stdout))
}

// run serves until ctx ends, then lets the running calls finish.
func run(ctx context.Context, f flags, out io.Writer) error {
	handler, err := standin.New()
	if err != nil {
		return err
	}
	if err := load(handler.Store(), f.State); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", f.Listen)
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
	if err := server.Shutdown(limited); err != nil {
		return errors.Wrap(err, "stop")
	}
	return save(handler.Store(), f.State)
}

// load reads the contents that an earlier process saved. A missing file is an
// empty store.
func load(store *kvstoretest.Fake, path string) error {
	data, err := os.ReadFile(path)
	if path == "" || os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the state")
	}
	return errors.Wrapf(store.Load(data), "decode %s", path)
}

func save(store *kvstoretest.Fake, path string) error {
	if path == "" {
		return nil
	}
	data, err := store.Save()
	if err != nil {
		return errors.Wrap(err, "encode the state")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o600), "write the state")
}
