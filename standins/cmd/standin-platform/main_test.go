package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a printed address on which nothing listens, and against a shutdown
// that hangs.
func TestRun(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, flags{Listen: "127.0.0.1:0"}, writer) }()
	line, err := bufio.NewReader(reader).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if err != nil || !ok {
		t.Fatalf("ready line %q, %v", line, err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	stop()
	if err := <-ended; err != nil {
		t.Errorf("stop: %v", err)
	}
}
