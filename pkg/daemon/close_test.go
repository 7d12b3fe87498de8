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

// Guards against a silent store that uses up the time in which the listeners
// finish their requests: the request below ends a moment after that has begun.
func TestCloseWithUnresponsiveStore(t *testing.T) {
	release := make(chan struct{})
	store := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer store.Close()
	defer close(release)
	i := newRig(t).prepare("entry-1", nil)
	address, err := url.Parse(store.URL)
	if err != nil {
		t.Fatal(err)
	}
	i.store.Close()
	if i.store, err = kvstore.NewHTTPClient(kvstore.HTTPOptions{Address: address.Host, ClientID: "entry-1"}, nil); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrived, closing := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-closing
		select {
		case <-r.Context().Done(): // cut
		case <-time.After(closeTimeout / 20):
		}
		_, _ = io.WriteString(w, "whole")
	})}
	server.RegisterOnShutdown(func() { close(closing) })
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	body := make(chan string, 1)
	go func() {
		resp, err := i.rig.client.Get("http://" + l.Addr().String())
		if err != nil {
			body <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			body <- err.Error()
			return
		}
		body <- string(data)
	}()
	<-arrived
	i.close([]*http.Server{server})
	if text := <-body; text != "whole" {
		t.Errorf("the request got %q", text)
	}
}
