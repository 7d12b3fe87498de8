package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults. It is
	// shorter than meanFaultWindow, so that faults overlap.
	meanFaultInterval = 250 * time.Millisecond
	// meanFaultWindow is the mean duration of a pause. Proxy, store and runner
	// faults last two or three times as long.
	meanFaultWindow = 700 * time.Millisecond
)

// injectFaults injects faults until ctx ends, which also ends the open ones.
func (tc *testCluster) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-tc.released:
			tc.killAll()
		default:
			tc.injectFault(ctx)
		}
		wait.Sleep(ctx, tc.randDuration(meanFaultInterval))
	}
}

// randDuration returns a duration from a uniform distribution with mean d.
func (tc *testCluster) randDuration(d time.Duration) time.Duration {
	return time.Duration(2 * tc.randFloat() * float64(d))
}

// injectFault starts one random fault.
func (tc *testCluster) injectFault(ctx context.Context) {
	n := tc.instances[tc.randInt(len(tc.instances))]
	switch tc.randInt(18) {
	case 0:
		n.restart(func() { n.terminate(syscall.SIGKILL) })
	case 1:
		n.restart(func() { n.terminate(syscall.SIGTERM) })
	case 2:
		n.pause(ctx, tc.randDuration(meanFaultWindow))
	case 3:
		n.signal(syscall.SIGHUP)
	case 4, 5:
		n.setProxyMode(ctx, proxyMode(1+tc.randInt(int(numProxyModes)-1)), tc.randDuration(3*meanFaultWindow))
	case 6: // all instances at once
		mode, d := proxyMode(1+tc.randInt(int(numProxyModes)-1)), tc.randDuration(3*meanFaultWindow)
		for _, n := range tc.instances {
			n.setProxyMode(ctx, mode, d)
		}
	case 7:
		tc.injectStoreFaults(ctx, tc.randDuration(2*meanFaultWindow))
	case 8:
		tc.injectRunnerFaults(ctx, tc.randDuration(2*meanFaultWindow))
		tc.topUp(int64(tc.randInt(40_000)))
	case 9:
		n.restart(func() {
			n.signal(syscall.SIGTERM)
			n.signalUntilExit(syscall.SIGHUP, syscall.SIGTERM)
		})
	case 10:
		tc.leave(ctx)
	case 11:
		tc.turnAway(ctx, tc.randDuration(meanFaultWindow))
	case 12:
		tc.limit(ctx)
	case 13: // KNOWN-RED.txt lists the loss of all instances beside a return from a copy
		if tc.killsAll {
			tc.killAll()
		} else {
			tc.restoreStore(ctx, tc.randDuration(meanFaultWindow))
		}
	case 14, 15:
		tc.reregister(ctx)
	case 16, 17:
		tc.evacuate(ctx)
	}
}

// killAll kills all processes at once and starts new ones, except those that are paused or
// already ending.
func (tc *testCluster) killAll() {
	var killed []*testInstance
	for _, n := range tc.instances {
		if !n.isBusy() {
			n.signal(syscall.SIGKILL)
			killed = append(killed, n)
		}
	}
	for _, n := range killed {
		n.terminate(syscall.SIGKILL)
	}
	for _, n := range killed {
		n.start()
	}
}

// isBusy reports whether the process is paused or already ending.
func (n *testInstance) isBusy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endRequested || n.paused
}

// restart calls end, which ends the process, and starts a new one, unless the process is
// paused or already ending.
func (n *testInstance) restart(end func()) {
	if n.isBusy() {
		return
	}
	end()
	n.start()
}

// pause suspends the process for d.
func (n *testInstance) pause(ctx context.Context, d time.Duration) {
	n.mu.Lock()
	n.paused = true
	n.mu.Unlock()
	n.cluster.evacuations.disturb(n.name, d)
	n.signal(syscall.SIGSTOP)
	go func() {
		wait.Sleep(ctx, d)
		n.signal(syscall.SIGCONT)
		n.cluster.notices.forget(n.name)
		n.mu.Lock()
		n.paused = false
		n.mu.Unlock()
	}()
}

// setProxyMode sets the mode of the instance's proxy for d. Afterwards it resets the
// connections, because they may have lost bytes.
func (n *testInstance) setProxyMode(ctx context.Context, mode proxyMode, d time.Duration) {
	n.cluster.evacuations.disturb(n.name, d)
	n.proxy.mode.Store(int32(mode))
	if mode == modeRefuse {
		n.proxy.reset()
	}
	go func() {
		wait.Sleep(ctx, d)
		n.proxy.mode.Store(int32(modePass))
		n.proxy.reset()
	}()
}

// injectStoreFaults makes the store refuse, lose and delay a random share of calls for
// d.
func (tc *testCluster) injectStoreFaults(ctx context.Context, d time.Duration) {
	tc.evacuations.disturb("store", d)
	faultShare := tc.randFloat() / 2
	tc.store.SetFaults(func(string) machines.Fault {
		if tc.randFloat() > faultShare {
			return machines.NoFault
		}
		return machines.Fault(1 + tc.randInt(int(machines.DelayTransaction)))
	})
	go func() {
		wait.Sleep(ctx, d)
		tc.store.ApplyDelayed() // delayed transactions take effect if their conditions still hold
		tc.store.SetFaults(nil)
	}()
}

// injectRunnerFaults makes runners refuse, lose and interrupt some answers for d.
func (tc *testCluster) injectRunnerFaults(ctx context.Context, d time.Duration) {
	set := func(faulty bool) {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.runnersFaulty = faulty
	}
	set(true)
	go func() { wait.Sleep(ctx, d); set(false) }()
}

// restoreStore makes the store unavailable for d, after which it returns from a copy of the
// time before the previous restore or of the start.
func (tc *testCluster) restoreStore(ctx context.Context, d time.Duration) {
	tc.evacuations.disturb("store", d)
	tc.store.SetFaults(func(string) machines.Fault { return machines.Unavailable })
	go func() {
		wait.Sleep(ctx, d)
		current := tc.store.Copy()
		tc.mu.Lock()
		copied := tc.copied
		tc.copied = current
		tc.mu.Unlock()
		tc.store.Restore(copied)
		tc.store.SetFaults(nil)
	}()
}
