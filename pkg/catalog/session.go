package catalog

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
)

// probeSource probes the source while no relay is followed. A failed probe ends the
// session, and with it the watches that wait; a successful one starts a session if there
// is none, and confirms the endpoint list of the current one.
func (r *Replica) probeSource(ctx context.Context) {
	r.startSession(ctx)
	delay := r.opts.Timing.ProbeInterval
	for {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
			timer.Stop()
			r.endSession(r.currentSession())
			return
		}
		timer.Stop()
		delay = r.opts.Timing.ProbeInterval
		if r.followsRelay() {
			continue
		}
		if err := r.probe(ctx); err != nil && len(r.opts.Relays()) == 0 {
			// Instances with relays learn from them that the source has returned.
			delay = r.opts.Timing.RetryDelay
		}
	}
}

// Recheck brings the endpoint list up to date with the source, whether this instance follows a
// relay or not.
func (r *Replica) Recheck(ctx context.Context) error {
	start := r.now()
	list, err := r.opts.Source.Recheck(ctx)
	if err != nil {
		return err
	}
	r.applyList(list, time.Now(), fromSource)
	r.confirm(start)
	return nil
}

// probe probes the source once. In a session that has read the endpoint list it asks for the
// changes of the list, which confirms it.
func (r *Replica) probe(ctx context.Context) error {
	session := r.currentSession()
	callCtx, cancel := context.WithTimeout(ctx, r.opts.Timing.ProbeTimeout)
	defer cancel()
	var err error
	if session != nil && r.isListed(session) {
		err = r.Recheck(callCtx)
	} else {
		err = r.opts.Source.Probe(callCtx)
	}
	r.setSourceFailed(err)
	if err != nil {
		r.endSession(session)
		return err
	}
	r.startSession(ctx)
	return nil
}

// currentSession returns the current session, or nil.
func (r *Replica) currentSession() *readingSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.session
}

// isListed reports whether the endpoint list has been read in session s.
func (r *Replica) isListed(s *readingSession) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.listed
}

// setListed records that the endpoint list has been read in session s.
func (r *Replica) setListed(s *readingSession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.listed = true
}

// startSession starts a session unless there is one or a relay is followed.
func (r *Replica) startSession(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session != nil || r.relay != "" {
		return
	}
	s := &readingSession{}
	s.ctx, s.cancel = context.WithCancel(ctx)
	r.session = s
	r.notifyWaiters()
}

// endSession ends session s, unless it is nil.
func (r *Replica) endSession(s *readingSession) {
	if s == nil {
		return
	}
	r.mu.Lock()
	if s == r.session {
		r.session = nil
	}
	r.mu.Unlock()
	s.cancel()
}

// failSession ends session s because a read failed with err. It returns after RetryDelay
// and then has the source probed, which starts the next session.
func (r *Replica) failSession(ctx context.Context, s *readingSession, err error) {
	if s.ctx.Err() != nil {
		return // the read failed because the session has ended
	}
	r.endSession(s)
	r.setSourceFailed(err)
	wait.Sleep(ctx, r.opts.Timing.RetryDelay)
	r.requestProbe()
}

// requestProbe makes probeSource probe at once.
func (r *Replica) requestProbe() {
	select {
	case r.wake <- struct{}{}:
	default: // a probe is already due
	}
}

// awaitSession waits for a session that has not ended. It returns nil if ctx has ended.
func (r *Replica) awaitSession(ctx context.Context) *readingSession {
	for {
		r.mu.Lock()
		s, changed := r.session, r.changed
		r.mu.Unlock()
		if ctx.Err() != nil {
			return nil
		}
		if s != nil && s.ctx.Err() == nil {
			return s
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// setSourceFailed records the result of the latest probe or read of the source.
func (r *Replica) setSourceFailed(err error) {
	r.source.Record(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted = r.interrupted || err != nil
	if r.sourceFailed != (err != nil) {
		r.sourceFailed = err != nil
		r.notifyWaiters()
	}
}
