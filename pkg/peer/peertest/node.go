package peertest

import (
	"context"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Node is one instance of a Network.
type Node struct {
	net     *Network
	id      peer.Identity
	stopped chan struct{}

	mu       sync.Mutex
	handlers map[peer.Method]peer.Handler
	paused   chan struct{} // nil while the node runs, closed by resume
}

var (
	_ peer.Caller    = (*Node)(nil)
	_ peer.Registrar = (*Node)(nil)
)

func newNode(n *Network, id peer.Identity) *Node {
	return &Node{net: n, id: id, stopped: make(chan struct{}), handlers: map[peer.Method]peer.Handler{}}
}

// Identity returns the identity that the node was started with.
func (d *Node) Identity() peer.Identity { return d.id }

// Handle registers the handler of a method.
func (d *Node) Handle(method peer.Method, h peer.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handlers[method] = h
}

// Call sends req to the node at address and decodes the answer into resp.
func (d *Node) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	body, err := peer.Marshal(req)
	if err != nil {
		return err
	}
	if !d.awake() {
		return failure.New(failure.Unavailable, "", "this instance is stopped")
	}
	if err := ctx.Err(); err != nil {
		return failure.New(failure.Unavailable, "", "call %s to %s was not sent: %v", method, address, err)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	d.net.count(method, func(c *Count) { c.Requests++; c.RequestBytes += len(body) })

	done := make(chan answer, 1)
	go d.deliver(ctx, address, method, body, done)
	a := d.await(ctx, address, method, done)
	if !d.awake() {
		return uncertain("this instance stopped during call %s to %s", method, address)
	}
	if a.err != nil {
		return a.err
	}
	if resp == nil {
		return nil
	}
	return peer.Unmarshal(a.body, resp)
}

func (d *Node) await(ctx context.Context, address string, method peer.Method, done <-chan answer) answer {
	select {
	case a := <-done:
		return a
	case <-d.stopped:
		return answer{err: uncertain("this instance stopped during call %s to %s", method, address)}
	case <-ctx.Done():
		return answer{err: uncertain("call %s to %s was not answered: %v", method, address, ctx.Err())}
	}
}

type answer struct {
	body []byte
	err  error
}

// deliver carries a request to its handler and the answer back. It sends
// nothing to done when a message is dropped.
func (d *Node) deliver(ctx context.Context, address string, method peer.Method, body []byte, done chan<- answer) {
	timeout := remaining(ctx)
	switch d.net.pass(d.id.Address, address) {
	case refused:
		done <- answer{err: unreachable(address)}
		return
	case dropped:
		return
	}
	to := d.net.node(address)
	if to == nil {
		done <- answer{err: unreachable(address)}
		return
	}
	lose, twice := d.net.faults(d.id.Address, address)
	served := make(chan answer, 1)
	go func() {
		a := to.serve(timeout, d.id, method, body)
		if twice {
			to.serve(timeout, d.id, method, body)
		}
		served <- a
	}()
	select {
	case a := <-served:
		if lose {
			a = answer{err: uncertain("the connection to %s broke during call %s", address, method)}
		} else if d.net.pass(address, d.id.Address) != passes {
			d.lostAnswer(address, method, done)
			return
		}
		done <- a
	case <-to.stopped:
		done <- answer{err: uncertain("%s stopped during call %s", address, method)}
	}
}

func (d *Node) lostAnswer(address string, method peer.Method, done chan<- answer) {
	if d.net.state(address, d.id.Address) == refused {
		done <- answer{err: uncertain("the connection to %s broke during call %s", address, method)}
	}
}

// serve runs the handler of a call and returns its answer as decoded by the caller.
func (d *Node) serve(timeout time.Duration, from peer.Identity, method peer.Method, body []byte) answer {
	if !d.awake() {
		return answer{err: uncertain("the instance stopped")}
	}
	d.mu.Lock()
	h := d.handlers[method]
	d.mu.Unlock()
	if h == nil {
		return answer{err: wireError(peer.UnknownMethod(method))}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-d.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	result, err := h(ctx, from, body)
	if !d.awake() {
		return answer{err: uncertain("the instance stopped")}
	}
	a := answer{err: err}
	if err == nil {
		a.body, a.err = peer.Marshal(result)
	}
	d.net.count(method, func(c *Count) { c.Answers++; c.AnswerBytes += len(a.body) })
	if a.err != nil {
		a.err = wireError(a.err)
	}
	return a
}

func (d *Node) pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused == nil {
		d.paused = make(chan struct{})
	}
}

func (d *Node) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused != nil {
		close(d.paused)
		d.paused = nil
	}
}

func (d *Node) stop() {
	close(d.stopped)
	d.resume()
}

// awake waits while the node is paused and reports whether it still runs.
func (d *Node) awake() bool {
	for {
		d.mu.Lock()
		paused := d.paused
		d.mu.Unlock()
		if paused == nil {
			break
		}
		<-paused
	}
	select {
	case <-d.stopped:
		return false
	default:
		return true
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, peer.DefaultCallTimeout)
}

func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// wireError returns err as the caller of a remote handler sees it.
func wireError(err error) error {
	b, err := peer.Marshal(peer.HandlerError(err))
	if err != nil {
		return err
	}
	var e failure.Error
	if err := peer.Unmarshal(b, &e); err != nil {
		return err
	}
	return &e
}

func unreachable(address string) error {
	return failure.New(failure.Unavailable, "check that the instance runs", "peer %s cannot be reached", address)
}

func uncertain(format string, args ...any) error {
	return failure.New(failure.Uncertain, "read the state back before repeating the call", format, args...)
}
