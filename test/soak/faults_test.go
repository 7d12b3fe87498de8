package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// faultPause is the mean pause between two faults; they overlap.
	faultPause = 250 * time.Millisecond
	// faultLasts is the mean duration of a fault.
	faultLasts = 700 * time.Millisecond
)

// disturb makes faults until ctx ends, then heals everything.
func (w *world) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		w.fault(ctx)
		wait.Sleep(ctx, w.about(faultPause))
	}
}

func (w *world) about(d time.Duration) time.Duration {
	return time.Duration(2 * w.float() * float64(d))
}

func (w *world) fault(ctx context.Context) {
	n := w.nodes[w.int(len(w.nodes))]
	switch w.int(9) {
	case 0:
		n.restart(syscall.SIGKILL)
	case 1:
		n.restart(syscall.SIGTERM)
	case 2:
		n.pause(ctx, w.about(faultLasts))
	case 3:
		n.signal(syscall.SIGHUP)
	case 4, 5:
		n.link(ctx, way(1+w.int(int(ways)-1)), w.about(3*faultLasts))
	case 6: // all instances lose the store
		way, d := way(1+w.int(int(ways)-1)), w.about(3*faultLasts)
		for _, n := range w.nodes {
			n.link(ctx, way, d)
		}
	case 7:
		w.storeFaults(ctx, w.about(2*faultLasts))
	case 8:
		w.runnerFaults(ctx, w.about(2*faultLasts))
		w.pay(int64(w.int(40_000)))
	}
}

// restart ends a process and starts it again.
func (n *node) restart(s syscall.Signal) {
	n.mu.Lock()
	busy := n.ordered || n.paused
	n.mu.Unlock()
	if busy {
		return
	}
	n.end(s)
	n.start()
}

// pause stops the process for a while.
func (n *node) pause(ctx context.Context, d time.Duration) {
	n.mu.Lock()
	n.paused = true
	n.mu.Unlock()
	n.signal(syscall.SIGSTOP)
	go func() {
		wait.Sleep(ctx, d)
		n.signal(syscall.SIGCONT)
		n.mu.Lock()
		n.paused = false
		n.mu.Unlock()
	}()
}

// link changes the way to the store for a while. The connections end with it, because
// bytes were lost on them.
func (n *node) link(ctx context.Context, to way, d time.Duration) {
	n.proxy.way.Store(int32(to))
	if to == refuse {
		n.proxy.reset()
	}
	go func() {
		wait.Sleep(ctx, d)
		n.proxy.way.Store(int32(pass))
		n.proxy.reset()
	}()
}

// storeFaults lets the store refuse, lose and delay calls for a while.
func (w *world) storeFaults(ctx context.Context, d time.Duration) {
	share := w.float() / 2
	w.store.SetFaults(func(string) machines.Fault {
		if w.float() > share {
			return machines.NoFault
		}
		return machines.Fault(1 + w.int(int(machines.DelayTransaction)))
	})
	go func() {
		wait.Sleep(ctx, d)
		w.store.ApplyDelayed() // what was delayed takes effect if its condition still holds
		w.store.SetFaults(nil)
	}()
}

func (w *world) runnerFaults(ctx context.Context, d time.Duration) {
	set := func(faulty bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faulty = faulty
	}
	set(true)
	go func() { wait.Sleep(ctx, d); set(false) }()
}
