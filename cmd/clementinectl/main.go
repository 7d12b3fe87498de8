// Command clementinectl is the operators' tool. It calls the operators' API of any
// instance and reads INI declarations.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], stdStreams{os.Stdout, os.Stderr}, http.DefaultTransport.(*http.Transport).Clone())
	stop()
	os.Exit(code)
}
