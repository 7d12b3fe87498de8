package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestSignals guards against a daemon that ends at once by a signal other than those for
// a graceful stop, or by any signal while it stops.
func TestSignals(t *testing.T) {
	daemon := startDaemon(t)
	_ = daemon.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	for range 5 {
		if err := daemon.Process.Signal(syscall.SIGTERM); err != nil {
			break // it has exited, as Wait shows
		}
		_ = daemon.Process.Signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
	_ = daemon.Wait()
	// Without a platform the daemon has no shards to move, so the stop succeeds.
	if state := daemon.ProcessState; !state.Success() {
		t.Errorf("the daemon ended with %v, want exit status 0", state)
	}
}

// startDaemon builds the daemon, starts it without a platform and waits until it serves
// its metrics.
func startDaemon(t *testing.T) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "clementinerackd")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	secret := filepath.Join(dir, "secret")
	if err := os.WriteFile(secret, []byte("0123456789abcdef0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	metrics := reserveAddress(t)
	settings := fmt.Sprintf("[instance]\nid = a\ndomain = d\nregion = r\n[listen]\ncallers = %s\noperators = %s\npeers = %s\nmetrics = %s\n"+
		"[platform]\naddress = http://%s\n[peers]\ncredential-file = %s\n[operators]\ntoken-file = %s\n",
		reserveAddress(t), reserveAddress(t), reserveAddress(t), metrics, reserveAddress(t), secret, secret)
	path := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := exec.Command(bin, "--settings", path)
	daemon.Stderr = t.Output()
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = daemon.Process.Kill() }) // it has usually exited
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + metrics + "/healthz"); err == nil {
			_ = resp.Body.Close()
			return daemon
		}
		if time.Now().After(deadline) {
			t.Fatal("the daemon serves no metrics")
		}
	}
}

// reserveAddress returns a loopback address that no other process gets until the end of the test:
// its port is bound by a socket that does not listen, beside which the daemon can listen.
func reserveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}
