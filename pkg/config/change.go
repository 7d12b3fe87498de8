package config

import (
	"context"
	"strconv"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// maxAppliedChanges limits Document.Applied. At 920 changes a day, 64 changes span
// more than 1.5 hours, which is longer than any retry of an operator's tool.
const maxAppliedChanges = 64

// maxChangeAttempts limits the swaps of one Change. Operators change the
// configuration every 94 s on average, so even a second conflict is rare.
const maxChangeAttempts = 5

// changeRetryDelay is the mean delay between two attempts of a change. With its
// jitter it separates concurrent operators, and it gives a store that loses
// answers time to recover.
const changeRetryDelay = 50 * time.Millisecond

// ChangeRequest describes a change of the configuration.
type ChangeRequest struct {
	// Command is the id of the change. A repeat with the same id has no effect.
	Command  string
	Operator string
	Summary  string
	// Expect is the generation on which the change is based; 0 accepts any
	// generation.
	Expect uint64
	// Mutate changes a copy of the current document. It may be called more than
	// once. Format, Generation and Applied are set by Change.
	Mutate func(*Document) error
}

// Change writes a changed document to the store and makes it the current document
// of the replica. A repeat of an applied command returns the current document.
// Change fails with failure.Conflict if another change came first, with
// failure.Invalid if the request or the result is not valid, with
// failure.Unavailable if nothing was written, and with failure.Uncertain if the
// write may still take effect. After failure.Uncertain it is safe to repeat the
// change with the same command id.
func (r *Replica) Change(ctx context.Context, req ChangeRequest) (*Document, error) {
	if req.Command == "" || req.Operator == "" || req.Mutate == nil {
		return nil, failure.New(failure.Invalid, "send a command id, the operator's name and a change", "the change lacks a command id, an operator or a mutation")
	}
	c := &changeState{replica: r, req: req}
	for i := range maxChangeAttempts {
		if i > 0 {
			wait.Sleep(ctx, withJitter(changeRetryDelay))
		}
		d, done, err := c.attempt(ctx)
		if err != nil {
			return nil, c.resolveError(err)
		}
		if done {
			return d, nil
		}
	}
	return nil, c.resolveError(c.conflictError())
}

// changeState holds the progress of one Change call.
type changeState struct {
	replica      *Replica
	req          ChangeRequest
	latest       *Document // newest accepted document read, or nil
	storeVersion uint64    // version of the record at the last read
	// pending is true when a swap that expects pendingVersion got no answer. It can
	// take effect only while the record still has that version.
	pending        bool
	pendingVersion uint64
}

// attempt reads the document and swaps it once. It reports whether the change is
// done. If a swap gets no answer, the read of the next attempt shows its result.
// A repeated swap is safe, because only one swap can succeed on a version.
func (c *changeState) attempt(ctx context.Context) (*Document, bool, error) {
	if err := c.read(ctx); err != nil {
		return nil, false, err
	}
	if c.latest != nil && c.latest.HasApplied(c.req.Command) {
		c.pending = false
		return c.latest, true, nil
	}
	if c.req.Expect != 0 && c.req.Expect != generationOf(c.latest) {
		return nil, false, c.conflictError()
	}
	next, data, err := c.buildNext()
	if err != nil {
		return nil, false, err
	}
	_, err = c.replica.swap(ctx, c.storeVersion, data)
	switch failure.KindOf(err) {
	case "":
		c.replica.adopt(next, sourceChange)
		return next, true, nil
	case failure.Conflict:
		return nil, false, nil
	case failure.Unavailable, failure.Invalid, failure.Format:
		return nil, false, err
	}
	c.pending, c.pendingVersion = true, c.storeVersion
	return nil, false, nil
}

// read determines the newest accepted document: the stored one, the current one,
// or one that a peer announced. A change based on an older document would create
// a second document of the same generation.
func (c *changeState) read(ctx context.Context) error {
	rec, err := c.replica.get(ctx)
	if err != nil {
		return storeReadError(err)
	}
	stored, err := decodeRecord(rec)
	if err != nil {
		return err
	}
	c.storeVersion = rec.Version
	c.pending = c.pending && rec.Version <= c.pendingVersion // a stale read returns a lower version
	c.replica.adopt(stored, sourceStore)
	if err := c.replica.fetchAnnounced(ctx); err != nil {
		return failure.New(failure.Unavailable, "repeat the command with the same command id, or send it to another instance",
			"a peer announced a newer generation than %d, which could not be fetched: %v", c.replica.Generation(), err)
	}
	c.latest = c.replica.Current()
	if stored != nil && stored.Generation >= generationOf(c.latest) {
		c.latest = stored
	}
	return nil
}

// buildNext returns the changed document and its stored form.
func (c *changeState) buildNext() (*Document, []byte, error) {
	base := c.latest
	if base == nil {
		base = &Document{}
	}
	next := base.Clone()
	if err := c.req.Mutate(next); err != nil {
		return nil, nil, err
	}
	next.Format, next.Generation = FormatVersion, base.Generation+1
	next.Applied = append(base.Clone().Applied, Change{
		Command: c.req.Command, Generation: next.Generation, Operator: c.req.Operator, Summary: c.req.Summary,
	})
	if excess := len(next.Applied) - maxAppliedChanges; excess > 0 {
		next.Applied = next.Applied[excess:]
	}
	if c.latest != nil && c.latest.Shards != next.Shards {
		return nil, nil, shardCountError(c.latest.Shards, next.Shards)
	}
	if err := Validate(next); err != nil {
		return nil, nil, err
	}
	data, err := Encode(next)
	return next, data, err
}

// resolveError returns err, or a failure.Uncertain error if an earlier swap may
// still take effect.
func (c *changeState) resolveError(err error) error {
	if !c.pending {
		return err
	}
	return failure.New(failure.Uncertain, "repeat it with the same command id",
		"command %s may have been applied on generation %d; the store did not answer: %v", c.req.Command, generationOf(c.latest), err)
}

// conflictError returns the failure.Conflict error of a change. It names the current
// generation and the last change.
func (c *changeState) conflictError() error {
	current := generationOf(c.latest)
	if current == 0 {
		return failure.New(failure.Conflict, "leave the expected generation out or give 0",
			"generation %d was expected, but no configuration exists yet", c.req.Expect)
	}
	author := "by an unrecorded change"
	if n := len(c.latest.Applied); n > 0 {
		last := c.latest.Applied[n-1]
		author = "by " + last.Operator + " (" + last.Summary + ", command " + last.Command + ")"
	}
	return failure.New(failure.Conflict, "look at the current configuration, then repeat the command with its generation",
		"the configuration is at generation %d, changed last %s; %s", current, author, describeExpected(c.req.Expect))
}

func generationOf(d *Document) uint64 {
	if d == nil {
		return 0
	}
	return d.Generation
}

func describeExpected(generation uint64) string {
	if generation == 0 {
		return "other changes came first in every attempt"
	}
	return "generation " + strconv.FormatUint(generation, 10) + " was expected"
}

// storeReadError returns err as failure.Unavailable or failure.Format.
func storeReadError(err error) error {
	if k := failure.KindOf(err); k == failure.Unavailable || k == failure.Format {
		return err
	}
	return failure.New(failure.Unavailable, "repeat the command with the same command id when the store answers again",
		"the store could not be read: %v", err)
}
