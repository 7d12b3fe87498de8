package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Guards against an unresponsive store that uses up the time in which the servers
// finish open requests. The request of the test ends shortly after the shutdown of its
// server has started.
func TestCloseWithUnresponsiveStore(t *testing.T) {
	release := make(chan struct{})
	storeServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer storeServer.Close()
	defer close(release)
	inst := newFixture(t).newInstance("entry-1", nil)
	address, err := url.Parse(storeServer.URL)
	if err != nil {
		t.Fatal(err)
	}
	inst.store.Close()
	if inst.store, err = kvstore.NewHTTPClient(kvstore.HTTPOptions{Address: address.Host, ClientID: "entry-1"}, nil); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requestStarted, shutdownStarted := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(requestStarted)
		<-shutdownStarted
		select {
		case <-r.Context().Done(): // interrupted
		case <-time.After(closeTimeout / 20):
		}
		_, _ = io.WriteString(w, "whole")
	})}
	server.RegisterOnShutdown(func() { close(shutdownStarted) })
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	result := make(chan string, 1)
	go func() {
		resp, err := inst.fixture.client.Get("http://" + listener.Addr().String())
		if err != nil {
			result <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			result <- err.Error()
			return
		}
		result <- string(data)
	}()
	<-requestStarted
	inst.close([]*http.Server{server})
	if got := <-result; got != "whole" {
		t.Errorf("got response %q, want the whole one", got)
	}
}
