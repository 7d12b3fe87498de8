package peertest

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Network connects nodes by address. All methods are safe for concurrent use. A
// fault set with the parameters src and dst affects only that direction:
// requests from src to dst, and answers of src to calls of dst.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	links map[linkKey]*link
	stats map[peer.Method]Count

	closed chan struct{}
	once   sync.Once
}

// Count counts the messages of a method and the bytes of their bodies.
type Count struct {
	Requests, Answers         int
	RequestBytes, AnswerBytes int
}

type linkKey struct{ src, dst string }

// link is the state of one direction between two addresses.
type link struct {
	cut, silent bool
	delay       time.Duration
	holdAll     bool            // hold every message
	holdNext    int             // number of further messages to hold
	held        []chan struct{} // closed to release a held message
	loseAnswers int             // number of further calls of this direction whose answer is lost
	duplicates  int             // number of further calls of this direction that are delivered twice
}

// NewNetwork returns a network without nodes and faults.
func NewNetwork() *Network {
	return &Network{nodes: map[string]*Node{}, links: map[linkKey]*link{}, stats: map[peer.Method]Count{}, closed: make(chan struct{})}
}

// Close stops all nodes and drops the messages in flight, so that a synctest
// bubble can end. Handlers must return when their context ends.
func (n *Network) Close() {
	n.once.Do(func() { close(n.closed) })
	n.mu.Lock()
	nodes := slices.Collect(maps.Keys(n.nodes))
	n.mu.Unlock()
	for _, address := range nodes {
		n.Stop(address)
	}
}

// StartNode starts an instance at id.Address. It first stops the node that runs
// at that address, if any.
func (n *Network) StartNode(id peer.Identity) *Node {
	n.Stop(id.Address)
	node := newNode(n, id)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id.Address] = node
	return node
}

// Cut makes calls between a and b fail with failure.Unavailable. Calls in
// flight whose answer is not delivered yet fail with failure.Uncertain.
func (n *Network) Cut(a, b string) {
	n.withBothLinks(a, b, func(l *link) { l.cut, l.silent = true, false })
}

// Silence drops all messages between a and b without an error, so that calls
// block until their context ends and then fail with failure.Uncertain.
func (n *Network) Silence(a, b string) {
	n.withBothLinks(a, b, func(l *link) { l.cut, l.silent = false, true })
}

// SilenceOneWay drops all messages from src to dst. The other direction is not
// affected.
func (n *Network) SilenceOneWay(src, dst string) {
	n.withLink(src, dst, func(l *link) { l.silent = true })
}

// Heal ends Cut, Silence and SilenceOneWay between a and b.
func (n *Network) Heal(a, b string) {
	n.withBothLinks(a, b, func(l *link) { l.cut, l.silent = false, false })
}

// Stop crashes the node at address. Later calls to it or from it fail with
// failure.Unavailable; calls that it sent or handles at the moment fail with
// failure.Uncertain. A stopped node cannot be restarted; StartNode starts a new
// one.
func (n *Network) Stop(address string) {
	n.mu.Lock()
	node := n.nodes[address]
	delete(n.nodes, address)
	n.mu.Unlock()
	if node != nil {
		node.stop()
	}
}

// Pause blocks the handlers, the calls and the answers of the node at address
// until Resume or Stop, even if their contexts end.
func (n *Network) Pause(address string) {
	if node := n.node(address); node != nil {
		node.pause()
	}
}

// Resume ends Pause.
func (n *Network) Resume(address string) {
	if node := n.node(address); node != nil {
		node.resume()
	}
}

// LoseAnswers loses the answers to the next k calls from src to dst: the
// handler runs and the caller gets failure.Uncertain.
func (n *Network) LoseAnswers(src, dst string, k int) {
	n.withLink(src, dst, func(l *link) { l.loseAnswers = k })
}

// Duplicate delivers the next k calls from src to dst twice, one after the
// other. The caller gets the first answer after both have run.
func (n *Network) Duplicate(src, dst string, k int) {
	n.withLink(src, dst, func(l *link) { l.duplicates = k })
}

// Delay delays each message from src to dst by d. A delayed request is
// delivered even if its caller has given up.
func (n *Network) Delay(src, dst string, d time.Duration) {
	n.withLink(src, dst, func(l *link) { l.delay = d })
}

// Hold holds messages from src to dst until Release. They are delivered even if
// their callers have given up.
func (n *Network) Hold(src, dst string) {
	n.withLink(src, dst, func(l *link) { l.holdAll = true })
}

// HoldNext holds the next k messages from src to dst until Release. Later
// messages are delivered before the held ones.
func (n *Network) HoldNext(src, dst string, k int) {
	n.withLink(src, dst, func(l *link) { l.holdNext = k })
}

// Release ends Hold and HoldNext and delivers the held messages concurrently.
func (n *Network) Release(src, dst string) {
	n.withLink(src, dst, func(l *link) {
		for _, gate := range l.held {
			close(gate)
		}
		l.held, l.holdAll, l.holdNext = nil, false, 0
	})
}

// Held returns the number of messages from src to dst that wait for Release.
func (n *Network) Held(src, dst string) (held int) {
	n.withLink(src, dst, func(l *link) { held = len(l.held) })
	return held
}

// Stats returns the messages sent so far, by method. Messages that a fault
// dropped are included.
func (n *Network) Stats() map[peer.Method]Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.stats)
}

func (n *Network) node(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

func (n *Network) withBothLinks(a, b string, f func(*link)) {
	n.withLink(a, b, f)
	n.withLink(b, a, f)
}

func (n *Network) withLink(src, dst string, f func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := linkKey{src, dst}
	if n.links[r] == nil {
		n.links[r] = &link{}
	}
	f(n.links[r])
}

func (n *Network) updateStats(m peer.Method, f func(*Count)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.stats[m]
	f(&c)
	n.stats[m] = c
}

// delivery is the outcome of sending a message.
type delivery int

const (
	delivered delivery = iota
	refused
	dropped
)

// transmit waits while a message is delayed or held and returns the outcome.
func (n *Network) transmit(src, dst string) delivery {
	var delay time.Duration
	var gate chan struct{}
	n.withLink(src, dst, func(l *link) {
		delay = l.delay
		if l.holdAll || l.holdNext > 0 {
			l.holdNext = max(0, l.holdNext-1)
			gate = make(chan struct{})
			l.held = append(l.held, gate)
		}
	})
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-n.closed:
			return dropped
		}
	}
	if gate != nil {
		select {
		case <-gate:
		case <-n.closed:
			return dropped
		}
	}
	return n.linkState(src, dst)
}

func (n *Network) linkState(src, dst string) (s delivery) {
	n.withLink(src, dst, func(l *link) {
		switch {
		case l.cut:
			s = refused
		case l.silent:
			s = dropped
		}
	})
	return s
}

// takeCallFaults consumes one call of LoseAnswers and Duplicate and reports
// which of them apply to it.
func (n *Network) takeCallFaults(src, dst string) (loseAnswer, duplicate bool) {
	n.withLink(src, dst, func(l *link) {
		loseAnswer, duplicate = l.loseAnswers > 0, l.duplicates > 0
		l.loseAnswers, l.duplicates = max(0, l.loseAnswers-1), max(0, l.duplicates-1)
	})
	return loseAnswer, duplicate
}
