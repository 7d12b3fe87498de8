package peertest

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Network connects nodes by address. All methods may be called at any time from
// any goroutine. Switches that take from and to concern that direction only:
// requests from from to to, and answers of from to calls of to.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	links map[route]*link
	stats map[peer.Method]Count

	closed chan struct{}
	once   sync.Once
}

// Count tells what was sent for a method.
type Count struct {
	Requests, Answers         int
	RequestBytes, AnswerBytes int
}

type route struct{ from, to string }

// link is the state of one direction between two addresses.
type link struct {
	cut, silent bool
	delay       time.Duration
	holding     bool            // hold every message
	holdNext    int             // hold this many more messages
	held        []chan struct{} // closed to let a held message pass
	loseAnswers int             // calls of this direction whose answer gets lost
	duplicate   int             // calls of this direction that are delivered twice
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{nodes: map[string]*Node{}, links: map[route]*link{}, stats: map[peer.Method]Count{}, closed: make(chan struct{})}
}

// Close stops all nodes and drops the messages on their way, so that a synctest
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

// StartNode starts an instance at id.Address. An earlier node at that address is
// stopped, as by Stop.
func (n *Network) StartNode(id peer.Identity) *Node {
	n.Stop(id.Address)
	node := newNode(n, id)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id.Address] = node
	return node
}

// Cut refuses calls between a and b with failure.Unavailable. The answer of a
// call that is being handled is lost with failure.Uncertain.
func (n *Network) Cut(a, b string) {
	n.both(a, b, func(l *link) { l.cut, l.silent = true, false })
}

// Silence drops all messages between a and b without an error, so that calls
// hang until their context ends and then fail with failure.Uncertain.
func (n *Network) Silence(a, b string) {
	n.both(a, b, func(l *link) { l.cut, l.silent = false, true })
}

// SilenceOneWay drops all messages from from to to and leaves the other
// direction intact.
func (n *Network) SilenceOneWay(from, to string) {
	n.one(from, to, func(l *link) { l.silent = true })
}

// Heal ends Cut, Silence and SilenceOneWay between a and b.
func (n *Network) Heal(a, b string) {
	n.both(a, b, func(l *link) { l.cut, l.silent = false, false })
}

// Stop crashes the node at address: calls to it are refused, its own calls
// fail, and calls that it was handling end with failure.Uncertain. It does not
// come back; Node starts a new one.
func (n *Network) Stop(address string) {
	n.mu.Lock()
	node := n.nodes[address]
	delete(n.nodes, address)
	n.mu.Unlock()
	if node != nil {
		node.stop()
	}
}

// Pause holds the handlers, the calls and the answers of the node at address
// until Resume or Stop, whatever becomes of their contexts.
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

// LoseAnswers loses the answers of the next k calls of from to to: the handler
// runs and the caller gets failure.Uncertain.
func (n *Network) LoseAnswers(from, to string, k int) {
	n.one(from, to, func(l *link) { l.loseAnswers = k })
}

// Duplicate delivers the next k calls of from to to twice, one after the other.
// The caller gets the first answer after both have run.
func (n *Network) Duplicate(from, to string, k int) {
	n.one(from, to, func(l *link) { l.duplicate = k })
}

// Delay delays each message from from to to by d. A delayed request is
// delivered even when its caller has given up.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.one(from, to, func(l *link) { l.delay = d })
}

// Hold holds messages from from to to until Release. They are delivered even
// when their callers have given up.
func (n *Network) Hold(from, to string) {
	n.one(from, to, func(l *link) { l.holding = true })
}

// HoldNext holds the next k messages from from to to until Release; later ones
// pass, so that they overtake the held ones.
func (n *Network) HoldNext(from, to string, k int) {
	n.one(from, to, func(l *link) { l.holdNext = k })
}

// Release ends Hold and HoldNext and delivers the held messages concurrently.
func (n *Network) Release(from, to string) {
	n.one(from, to, func(l *link) {
		for _, gate := range l.held {
			close(gate)
		}
		l.held, l.holding, l.holdNext = nil, false, 0
	})
}

// Held returns the number of messages from from to to that wait for Release.
func (n *Network) Held(from, to string) (held int) {
	n.one(from, to, func(l *link) { held = len(l.held) })
	return held
}

// Stats returns what was sent so far, by method. Messages that a fault dropped
// are counted where they were sent.
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

func (n *Network) both(a, b string, f func(*link)) {
	n.one(a, b, f)
	n.one(b, a, f)
}

func (n *Network) one(from, to string, f func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := route{from, to}
	if n.links[r] == nil {
		n.links[r] = &link{}
	}
	f(n.links[r])
}

func (n *Network) count(m peer.Method, f func(*Count)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.stats[m]
	f(&c)
	n.stats[m] = c
}

// state is what a message meets on its way.
type state int

const (
	passes state = iota
	refused
	dropped
)

// pass waits for the delay and the hold of a direction and returns what becomes
// of the message.
func (n *Network) pass(from, to string) state {
	var delay time.Duration
	var gate chan struct{}
	n.one(from, to, func(l *link) {
		delay = l.delay
		if l.holding || l.holdNext > 0 {
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
	return n.state(from, to)
}

func (n *Network) state(from, to string) (s state) {
	n.one(from, to, func(l *link) {
		switch {
		case l.cut:
			s = refused
		case l.silent:
			s = dropped
		}
	})
	return s
}

// faults consumes one call of the switches LoseAnswers and Duplicate.
func (n *Network) faults(from, to string) (lose, twice bool) {
	n.one(from, to, func(l *link) {
		lose, twice = l.loseAnswers > 0, l.duplicate > 0
		l.loseAnswers, l.duplicate = max(0, l.loseAnswers-1), max(0, l.duplicate-1)
	})
	return lose, twice
}
