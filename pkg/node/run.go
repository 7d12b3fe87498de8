package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainDelay is how long new requests are still accepted after the stop signal: the
	// load balancer needs two readiness checks, a second apart, to stop sending them.
	drainDelay = 2500 * time.Millisecond
	// cleanupWindow is the part of ShutdownTimeout that is kept for returning rights and
	// closing listeners and connections.
	cleanupWindow = 600 * time.Millisecond
	// closeTimeout bounds the closing of listeners and connections.
	closeTimeout = 300 * time.Millisecond
	// returnRightsTimeout bounds the return of the rights and the end of the registration
	// together.
	returnRightsTimeout = 800 * time.Millisecond
)

// Run serves until ctx ends and then shuts down gracefully within ShutdownTimeout. It
// returns an error if a listener cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	rightsCtx, stopRights := context.WithCancel(background)
	defer stopRights()
	rightsStopped := make(chan struct{})
	n.goroutines.Go(func() { n.syncer.Run(rightsCtx); close(rightsStopped) })
	for _, loop := range []func(context.Context){n.replica.Run, n.roster.Run, n.startPeers, n.crashes.run, n.limits.run, n.lineage.Run, n.gate.Run, n.departed.run} {
		n.goroutines.Go(func() { loop(background) })
	}
	n.log.WithField("instance", n.self.Incarnation).WithField("domain", n.self.Domain).Info("instance started")
	<-ctx.Done()
	n.drain(servers, func() { stopRights(); <-rightsStopped; n.reserver.Stop() })
	cancel()
	n.client.Close()
	n.log.WithField("instance", n.self.Incarnation).Info("instance stopped")
	return nil
}

// drain reports the instance as not ready until the load balancer has noticed, waits for
// open requests, returns the rights, ends the registration and closes the servers.
// stopRights must return only after the rights are no longer changed.
func (n *Node) drain(servers []*http.Server, stopRights func()) {
	deadline := time.Now().Add(n.opts.ShutdownTimeout - cleanupWindow)
	n.log.WithField("in_flight", n.gateway.InFlight()).Info("instance is stopping")
	n.stopping.Store(true)
	n.gateway.DisableKeepAlives()
	time.Sleep(min(drainDelay, n.opts.ShutdownTimeout/3))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.gateway.Drain(ctx); err != nil {
		n.log.WithField("in_flight", n.gateway.InFlight()).Warn("shutdown timeout reached with requests in flight")
	}
	stopRights()
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), returnRightsTimeout)
	defer cancelReturn()
	if err := n.syncer.ReturnAll(returnCtx); err != nil {
		n.log.WithError(err).Warn("cannot return rights")
	}
	if err := n.roster.Leave(returnCtx); err != nil {
		n.log.WithError(err).Info("cannot revoke the registration; it ends with its lease")
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	for _, server := range servers {
		if server.Shutdown(closeCtx) != nil {
			_ = server.Close()
		}
	}
}
