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
	paused   chan struct{} // nil unless paused; closed by resume
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

// Call sends req to the node at address and decodes the answer into resp. A
// context without a deadline gets peer.DefaultCallTimeout.
func (d *Node) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	body, err := peer.Marshal(req)
	if err != nil {
		return err
	}
	if !d.waitWhilePaused() {
		return failure.New(failure.Unavailable, "", "this instance is stopped")
	}
	if err := ctx.Err(); err != nil {
		return failure.New(failure.Unavailable, "", "call %s to %s was not sent: %v", method, address, err)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	d.net.updateStats(method, func(c *Count) { c.Requests++; c.RequestBytes += len(body) })

	done := make(chan answer, 1)
	go d.deliver(ctx, address, method, body, done)
	a := d.awaitAnswer(ctx, address, method, done)
	if !d.waitWhilePaused() {
		return uncertainError("this instance stopped during call %s to %s", method, address)
	}
	if a.err != nil {
		return a.err
	}
	if resp == nil {
		return nil
	}
	return peer.Unmarshal(a.body, resp)
}

func (d *Node) awaitAnswer(ctx context.Context, address string, method peer.Method, done <-chan answer) answer {
	select {
	case a := <-done:
		return a
	case <-d.stopped:
		return answer{err: uncertainError("this instance stopped during call %s to %s", method, address)}
	case <-ctx.Done():
		return answer{err: uncertainError("call %s to %s was not answered: %v", method, address, ctx.Err())}
	}
}

// answer is the result of a call: its encoding or an error.
type answer struct {
	body []byte
	err  error
}

// deliver delivers a request to its handler and the answer to done. It sends
// nothing if a message is dropped.
func (d *Node) deliver(ctx context.Context, address string, method peer.Method, body []byte, done chan<- answer) {
	timeout := remaining(ctx)
	switch d.net.transmit(d.id.Address, address) {
	case refused:
		done <- answer{err: unreachableError(address)}
		return
	case dropped:
		return
	}
	callee := d.net.node(address)
	if callee == nil {
		done <- answer{err: unreachableError(address)}
		return
	}
	loseAnswer, duplicate := d.net.takeCallFaults(d.id.Address, address)
	answers := make(chan answer, 1)
	go func() {
		a := callee.serve(timeout, d.id, method, body)
		if duplicate {
			callee.serve(timeout, d.id, method, body)
		}
		answers <- a
	}()
	select {
	case a := <-answers:
		if loseAnswer {
			a = answer{err: uncertainError("the connection to %s broke during call %s", address, method)}
		} else if d.net.transmit(address, d.id.Address) != delivered {
			d.reportLostAnswer(address, method, done)
			return
		}
		done <- a
	case <-callee.stopped:
		done <- answer{err: uncertainError("%s stopped during call %s", address, method)}
	}
}

func (d *Node) reportLostAnswer(address string, method peer.Method, done chan<- answer) {
	if d.net.linkState(address, d.id.Address) == refused {
		done <- answer{err: uncertainError("the connection to %s broke during call %s", address, method)}
	}
}

// serve runs the handler of a call and returns its answer as the caller decodes
// it.
func (d *Node) serve(timeout time.Duration, from peer.Identity, method peer.Method, body []byte) answer {
	if !d.waitWhilePaused() {
		return answer{err: uncertainError("the instance stopped")}
	}
	d.mu.Lock()
	h := d.handlers[method]
	d.mu.Unlock()
	if h == nil {
		return answer{err: decodedError(peer.UnknownMethod(method))}
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
	if !d.waitWhilePaused() {
		return answer{err: uncertainError("the instance stopped")}
	}
	a := answer{err: err}
	if err == nil {
		a.body, a.err = peer.Marshal(result)
	}
	d.net.updateStats(method, func(c *Count) { c.Answers++; c.AnswerBytes += len(a.body) })
	if a.err != nil {
		a.err = decodedError(a.err)
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

// waitWhilePaused waits until the node is not paused and reports whether it
// still runs.
func (d *Node) waitWhilePaused() bool {
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

// decodedError returns err as the caller of a remote handler receives it.
func decodedError(err error) error {
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

func unreachableError(address string) error {
	return failure.New(failure.Unavailable, "check that the instance runs", "peer %s cannot be reached", address)
}

func uncertainError(format string, args ...any) error {
	return failure.New(failure.Uncertain, "read the state back before repeating the call", format, args...)
}
