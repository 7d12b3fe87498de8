package config

import (
	"context"
	"strconv"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// maxAppliedChanges bounds Document.Applied: 64 commands outlast every retry of
// an operator's tool at 920 changes a day (more than 1.5 hours).
const maxAppliedChanges = 64

// maxChangeAttempts bounds the swaps of one Change: operators change the
// configuration every 94 s on average, so a second collision is rare already.
const maxChangeAttempts = 5

// changePause spreads the attempts of racing operators, and gives a store that
// loses answers time to recover.
const changePause = 50 * time.Millisecond

// ChangeRequest describes a change of the configuration.
type ChangeRequest struct {
	// Command identifies the change; a repeat has no effect.
	Command  string
	Operator string
	Summary  string
	// Expect is the generation that the operator has seen; 0 means whichever is
	// current.
	Expect uint64
	// Mutate changes a copy of the current document. It may be called more than
	// once. Format, Generation and Applied are set by Change.
	Mutate func(*Document) error
}

// Change puts a changed document into the store and in force here. A repeat of
// an applied command returns the current document. It fails with
// failure.Conflict if another change came first, failure.Invalid if the result
// is not valid, failure.Unavailable if nothing was written, and
// failure.Uncertain if the write may still take effect; then a repeat with the
// same command id is safe.
func (r *Replica) Change(ctx context.Context, req ChangeRequest) (*Document, error) {
	if req.Command == "" || req.Operator == "" || req.Mutate == nil {
		return nil, failure.New(failure.Invalid, "send a command id, the operator's name and a change", "the change lacks a command id, an operator or a mutation")
	}
	c := &change{replica: r, req: req}
	for i := range maxChangeAttempts {
		if i > 0 {
			wait.Sleep(ctx, jittered(changePause))
		}
		d, done, err := c.attempt(ctx)
		if err != nil {
			return nil, c.settled(err)
		}
		if done {
			return d, nil
		}
	}
	return nil, c.settled(c.conflict())
}

// change is the progress of one Change call.
type change struct {
	replica *Replica
	req     ChangeRequest
	base    *Document // newest accepted document seen, or nil
	version uint64    // version of the record last read
	// pending is true when a swap on pendingVersion got no answer. It can take
	// effect only while the record still has that version.
	pending        bool
	pendingVersion uint64
}

// attempt reads and swaps once. A swap without an answer is settled by the read
// of the next attempt; repeating it is safe, because only one swap can succeed
// on a version.
func (c *change) attempt(ctx context.Context) (*Document, bool, error) {
	if err := c.read(ctx); err != nil {
		return nil, false, err
	}
	if c.base != nil && c.base.HasApplied(c.req.Command) {
		c.pending = false
		return c.base, true, nil
	}
	if c.req.Expect != 0 && c.req.Expect != generationOf(c.base) {
		return nil, false, c.conflict()
	}
	next, data, err := c.next()
	if err != nil {
		return nil, false, err
	}
	_, err = c.replica.swap(ctx, c.version, data)
	switch failure.KindOf(err) {
	case "":
		c.replica.adopt(next, sourceChange)
		return next, true, nil
	case failure.Conflict:
		return nil, false, nil
	case failure.Unavailable, failure.Invalid, failure.Format:
		return nil, false, err
	}
	c.pending, c.pendingVersion = true, c.version
	return nil, false, nil
}

// read finds the newest accepted document: that of the store, the one in force,
// or one that a peer announced. Building on an older one would bring a second
// document of the same generation into being.
func (c *change) read(ctx context.Context) error {
	rec, err := c.replica.get(ctx)
	if err != nil {
		return unreachable(err)
	}
	stored, err := decodeRecord(rec)
	if err != nil {
		return err
	}
	c.version = rec.Version
	c.pending = c.pending && rec.Version <= c.pendingVersion // a stale read shows a lower version
	c.replica.adopt(stored, sourceStore)
	if err := c.replica.fetchHeard(ctx); err != nil {
		return failure.New(failure.Unavailable, "repeat the command with the same command id, or send it to another instance",
			"a peer announced a newer generation than %d, which could not be fetched: %v", c.replica.Generation(), err)
	}
	c.base = c.replica.Current()
	if stored != nil && stored.Generation >= generationOf(c.base) {
		c.base = stored
	}
	return nil
}

// next returns the changed document and its stored form.
func (c *change) next() (*Document, []byte, error) {
	base := c.base
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
	if extra := len(next.Applied) - maxAppliedChanges; extra > 0 {
		next.Applied = next.Applied[extra:]
	}
	if c.base != nil && c.base.Shards != next.Shards {
		return nil, nil, shardsFixed(c.base.Shards, next.Shards)
	}
	if err := Validate(next); err != nil {
		return nil, nil, err
	}
	data, err := Encode(next)
	return next, data, err
}

// settled returns err, or failure.Uncertain while an earlier swap may still take
// effect.
func (c *change) settled(err error) error {
	if !c.pending {
		return err
	}
	return failure.New(failure.Uncertain, "repeat it with the same command id",
		"command %s may have been applied on generation %d; the store did not answer: %v", c.req.Command, generationOf(c.base), err)
}

func (c *change) conflict() error {
	now := generationOf(c.base)
	if now == 0 {
		return failure.New(failure.Conflict, "leave the expected generation out or give 0",
			"generation %d was expected, but no configuration exists yet", c.req.Expect)
	}
	who := "by an unrecorded change"
	if n := len(c.base.Applied); n > 0 {
		last := c.base.Applied[n-1]
		who = "by " + last.Operator + " (" + last.Summary + ", command " + last.Command + ")"
	}
	return failure.New(failure.Conflict, "look at the current configuration, then repeat the command with its generation",
		"the configuration is at generation %d, changed last %s; %s", now, who, expected(c.req.Expect))
}

func generationOf(d *Document) uint64 {
	if d == nil {
		return 0
	}
	return d.Generation
}

func expected(generation uint64) string {
	if generation == 0 {
		return "other changes came first in every attempt"
	}
	return "generation " + strconv.FormatUint(generation, 10) + " was expected"
}

func unreachable(err error) error {
	if k := failure.KindOf(err); k == failure.Unavailable || k == failure.Format {
		return err
	}
	return failure.New(failure.Unavailable, "repeat the command with the same command id when the store answers again",
		"the store could not be read: %v", err)
}
