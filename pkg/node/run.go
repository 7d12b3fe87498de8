package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// leaveTime is how long new requests are still taken after the order to stop:
	// the balancer needs two checks, a second apart, to notice.
	leaveTime = 2500 * time.Millisecond
	// endMargin is the part of the grace that is kept for giving rights back and
	// closing.
	endMargin = 600 * time.Millisecond
	// closeTimeout bounds the end of listeners and connections.
	closeTimeout = 300 * time.Millisecond
	// returnTimeout bounds the return of the rights.
	returnTimeout = 800 * time.Millisecond
)

// Run serves until ctx ends, then stops gracefully within the grace.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	rightsLoop, stopRights := context.WithCancel(background)
	defer stopRights()
	ended := make(chan struct{})
	n.loops.Go(func() { n.syncer.Run(rightsLoop); close(ended) })
	for _, loop := range []func(context.Context){n.replica.Run, n.roster.Run, n.startPeers} {
		n.loops.Go(func() { loop(background) })
	}
	n.log.WithField("instance", n.self.Incarnation).WithField("domain", n.self.Domain).Info("instance started")
	<-ctx.Done()
	n.drain(servers, func() { stopRights(); <-ended })
	cancel()
	n.client.Close()
	n.log.WithField("instance", n.self.Incarnation).Info("instance stopped")
	return nil
}

// drain lets the balancer notice, finishes open requests and returns the rights.
func (n *Node) drain(servers []*http.Server, stopRights func()) {
	deadline := time.Now().Add(n.opts.ShutdownTimeout - endMargin)
	n.log.WithField("in_flight", n.gateway.InFlight()).Info("instance is stopping")
	n.stopping.Store(true)
	n.gateway.DisableKeepAlives()
	time.Sleep(min(leaveTime, n.opts.ShutdownTimeout/3))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.gateway.Drain(ctx); err != nil {
		n.log.WithField("in_flight", n.gateway.InFlight()).Warn("the grace ends before all requests have ended")
	}
	stopRights()
	give, cancelGive := context.WithTimeout(context.Background(), returnTimeout)
	defer cancelGive()
	if err := n.syncer.ReturnAll(give); err != nil {
		n.log.WithError(err).Warn("rights could not be returned")
	}
	if err := n.roster.Leave(give); err != nil {
		n.log.WithError(err).Info("the registration ends with its lease")
	}
	closing, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	for _, s := range servers {
		if s.Shutdown(closing) != nil {
			_ = s.Close()
		}
	}
}
