package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// silencer forwards the connections of one instance to the store. silence drops all further bytes
// of the connection that waits for a change of the configuration, which stays open. Other
// connections, and new ones, go on.
type silencer struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	waiting chan struct{} // closing it silences the connection with the latest wait
	conns   []net.Conn
}

func newSilencer(target string) (*silencer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &silencer{listener: l, target: target}
	go s.accept()
	return s, nil
}

func (s *silencer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// silence silences the connection that waits and returns the time. It does nothing else if drops is
// false.
func (s *silencer) silence(drops bool) (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		return time.Time{}, fmt.Errorf("no connection waits for a change of the configuration")
	}
	if drops {
		close(s.waiting)
		s.waiting = nil
	}
	return time.Now(), nil
}

// observe records that a connection carries the latest wait if the request is one.
func (s *silencer) observe(request []byte, silent chan struct{}) {
	if !bytes.Contains(request, []byte(url.QueryEscape(machines.ConfigKey))) || !bytes.Contains(request, []byte("wait_ms=")) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = silent
}

func (s *silencer) accept() {
	for {
		from, err := s.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		s.mu.Lock()
		s.conns = append(s.conns, from, to)
		s.mu.Unlock()
		silent := make(chan struct{})
		go s.forward(from, to, silent, true)
		go s.forward(to, from, silent, false)
	}
}

// forward copies bytes until the connection falls silent, after which it reads and drops them.
func (s *silencer) forward(from, to net.Conn, silent chan struct{}, isRequest bool) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		select {
		case <-silent:
			n = 0
		default:
		}
		if n > 0 {
			if _, err := to.Write(part[:n]); err != nil {
				return
			}
			if isRequest {
				s.observe(part[:n], silent)
			}
		}
		if err != nil {
			return
		}
	}
}

const (
	contactWindow     = 3 * time.Second
	configPropagation = 2 * time.Second
	// withdrawDelay is the time from the silence to the withdrawal of the key.
	withdrawDelay = 500 * time.Millisecond
	// numProbes requests with the withdrawn key are sent, probeInterval apart.
	numProbes, probeInterval = 8, 50 * time.Millisecond
	numRounds                = 18
	// maxPause is the longest pause between two rounds, so that the silence comes at any moment of a
	// wait, which lasts 3 s.
	maxPause = time.Second
)

// playSilence lets one connection of an instance to the store fall silent, the one that waits for
// changes of the configuration, and then withdraws a key.
func playSilence(f *fleet, trouble bool) (bool, error) {
	zones := []string{"z0", "z1", "z2"}
	f.addInstances(zones...)
	var silencers []*silencer
	for _, n := range f.instances {
		s, err := newSilencer(f.storeAddress)
		if err != nil {
			return false, err
		}
		defer s.close()
		silencers = append(silencers, s)
		n.storeAddress = s.listener.Addr().String()
	}
	for i, zone := range zones {
		id := fmt.Sprintf("i-r%d", i)
		script := func(r *http.Request, _ []byte, c net.Conn) bool {
			attempt := r.Header.Get(machines.HeaderRequestID)
			if expected := r.Header.Get(machines.HeaderExpectedInstance); expected != "" && expected != id {
				_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+machines.HeaderRequestID+": "+attempt+"\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			}
			f.note("runner %s runs %s", id, attempt)
			return machines.Events{Version: "v1"}.Stream(1, 2, true)(r, nil, c)
		}
		if _, err := f.addRunner(id, streamService, zone, "v1", script); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	late, refused := 0, 0
	for round := range numRounds {
		n, s := f.instances[round%len(f.instances)], silencers[round%len(f.instances)]
		key := fmt.Sprintf("key-%d", round)
		silence, err := s.silence(trouble)
		if err != nil {
			return false, err
		}
		f.note("%s: the connection that waits for changes of the configuration is silent from now: %t", n.name, trouble)
		time.Sleep(time.Until(silence.Add(withdrawDelay)))
		f.config = strings.Replace(f.config, fmt.Sprintf("%q,", key), "", 1)
		f.version++
		f.store.Put(machines.ConfigKey, strings.Replace(f.config, `"version":7`, fmt.Sprintf(`"version":%d`, 7+f.version), 1))
		acknowledged := time.Now()
		f.note("%s is withdrawn with version %d", key, 7+f.version)
		var probes sync.WaitGroup
		var mu sync.Mutex
		for i := range numProbes {
			// The first one is sent when the instance is in touch again.
			time.Sleep(time.Until(silence.Add(contactWindow + 20*time.Millisecond + time.Duration(i)*probeInterval)))
			probes.Go(func() {
				id := fmt.Sprintf("r%d-%d", round, i)
				h := streamHeader(id)
				h.Set("Authorization", machines.KeyScheme+key)
				h.Set(machines.HeaderTokens, "100,8")
				ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
				defer cancel()
				sent := time.Now()
				a := n.send(ctx, newCaller(), http.MethodPost, streamHost, streamPath, "{}", h, nil)
				f.note("%s with %s at %s, sent %d ms after the silence and %d ms after the withdrawal: status %d, last event %d", id, key, n.name,
					sent.Sub(silence).Milliseconds(), sent.Sub(acknowledged).Milliseconds(), a.status, countEvents(a.body))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.status == http.StatusOK && sent.Sub(acknowledged) > configPropagation && sent.Sub(silence) > contactWindow:
					late++
				case a.status == http.StatusUnauthorized:
					refused++
				}
			})
		}
		probes.Wait()
		time.Sleep(300*time.Millisecond + rand.N(maxPause))
	}
	f.note("%d requests with a withdrawn key were run too late, %d were refused", late, refused)
	if late+refused < numRounds {
		return false, fmt.Errorf("too few requests to judge")
	}
	return late == 0, nil
}
