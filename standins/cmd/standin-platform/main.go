// Command standin-platform runs the stand-in for the platform store. It prints
// "listening <address>" when it listens, and stops on SIGTERM or SIGINT.
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
	shutdownTimeout   = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
)

type flags struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0" placeholder:"HOST:PORT"`
	State  string `help:"File from which the contents are loaded at startup and in which they are saved at shutdown." placeholder:"FILE"`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Name("standin-platform"), kong.Description("Stand-in for the platform store."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.FatalIfErrorf(run(ctx, f, os.Stdout))
}

// run serves until ctx ends, and then waits up to shutdownTimeout for running
// calls. It prints the address to out.
func run(ctx context.Context, f flags, out io.Writer) error {
	handler, err := standin.New()
	if err != nil {
		return err
	}
	if err := loadState(handler.Store(), f.State); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", f.Listen)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Fprintln(out, "listening", listener.Addr())
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	handler.Close()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(err, "stop")
	}
	return saveState(handler.Store(), f.State)
}

// loadState loads the contents that an earlier process saved. If path is empty or
// the file does not exist, the store stays empty.
func loadState(store *kvstoretest.Fake, path string) error {
	data, err := os.ReadFile(path)
	if path == "" || os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the saved state")
	}
	return errors.Wrapf(store.Load(data), "decode the saved state in %s", path)
}

// saveState saves the contents to a file, unless path is empty.
func saveState(store *kvstoretest.Fake, path string) error {
	if path == "" {
		return nil
	}
	data, err := store.Save()
	if err != nil {
		return errors.Wrap(err, "encode the state")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o600), "write the state")
}
