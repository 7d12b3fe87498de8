package ledger

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// State is the state of one shard. It is not safe for concurrent use.
type State struct {
	shard     ShardID
	retention Retention

	epoch       uint64
	epochAt     int64 // wall clock of the owner in ms at the start of the epoch
	lostThrough uint64
	lostAt      int64 // wall clock of the owner in ms; 0 when no epoch was lost

	index    uint64
	rights   map[BudgetKey]*Right
	records  map[string]*Record
	ended    [classes][]endedRecord // by retention class, in order of their end
	purged   [classes]int64         // highest mint time of a dropped record, by class
	unsealed []BillLine
	sealed   []Segment
	nextSeal uint64
}

// Right is what a shard holds on one budget.
type Right struct {
	// Granted mirrors the shard's grant in the budget record.
	Granted Tokens `cbor:"1,keyasint"`
	// Charged is the sum of bills and of reservations whose end is unknown.
	Charged Tokens `cbor:"2,keyasint"`
	// Reserved is the sum of running reservations.
	Reserved Tokens `cbor:"3,keyasint"`
	// Returning is true while a lower grant is being written to the store; the
	// shard then uses only ReturnTo. It stays true until the record's version
	// has passed ReturnVersion, because a delayed write may still take effect.
	Returning     bool   `cbor:"4,keyasint,omitempty"`
	ReturnTo      Tokens `cbor:"5,keyasint,omitempty"`
	ReturnVersion uint64 `cbor:"6,keyasint,omitempty"`
	// Version is the highest version of the budget record that was mirrored. A
	// read that shows a lower one is stale and must not raise Granted again.
	Version uint64 `cbor:"7,keyasint,omitempty"`
}

// Available returns what can still be reserved.
func (r Right) Available() Tokens {
	usable := r.Granted
	if r.Returning {
		usable = min(usable, r.ReturnTo)
	}
	return usable - r.Charged - r.Reserved
}

// Record is the record of one request.
type Record struct {
	ID                string        `cbor:"1,keyasint"`
	Budget            BudgetKey     `cbor:"2,keyasint"`
	Service           string        `cbor:"3,keyasint"`
	Fingerprint       []byte        `cbor:"4,keyasint"`
	Repeatable        bool          `cbor:"5,keyasint,omitempty"`
	KeepAnswer        bool          `cbor:"6,keyasint,omitempty"`
	State             RecordState   `cbor:"7,keyasint"`
	Attempt           uint32        `cbor:"8,keyasint"`
	Dispatcher        string        `cbor:"9,keyasint"`
	DispatcherAddress string        `cbor:"10,keyasint"`
	Call              uint64        `cbor:"11,keyasint"`
	Reserved          Tokens        `cbor:"12,keyasint"`
	Charged           Tokens        `cbor:"13,keyasint"`
	Answer            *StoredAnswer `cbor:"14,keyasint,omitempty"`
	// UpdatedAtMillis is the owner's wall clock in ms at the last change of state.
	UpdatedAtMillis int64 `cbor:"15,keyasint"`
	// IssuedAtMillis is copied from an issued id, 0 otherwise.
	IssuedAtMillis int64 `cbor:"16,keyasint"`
	// Epoch in which the state last changed; At of another epoch is on another
	// owner's clock.
	Epoch uint64 `cbor:"17,keyasint"`
	// NotRunAtMillis is the owner's wall clock in ms at which an earlier attempt was
	// recorded as not run, and NotRunEpoch the epoch of that clock; both are 0
	// when there was none. Every later attempt and every repeated call is told.
	NotRunAtMillis int64  `cbor:"18,keyasint,omitempty"`
	NotRunEpoch    uint64 `cbor:"19,keyasint,omitempty"`
	// MayHaveRunBefore is true when an attempt before this one may have run, and
	// ChargedBefore is the charge that stands if this one does not run.
	MayHaveRunBefore bool   `cbor:"20,keyasint,omitempty"`
	ChargedBefore    Tokens `cbor:"21,keyasint,omitempty"`
}

type endedRecord struct {
	ID string `cbor:"1,keyasint"`
	At int64  `cbor:"2,keyasint"`
}

// Segment is a batch of bill lines that is written to the store under a key of
// its own, so that writing it twice has no effect.
type Segment struct {
	Epoch uint64     `cbor:"1,keyasint" json:"epoch"`
	Seq   uint64     `cbor:"2,keyasint" json:"seq"`
	Lines []BillLine `cbor:"3,keyasint" json:"lines"`
}

// NewState returns an empty shard in the given epoch.
func NewState(shard ShardID, epoch uint64, retention Retention) *State {
	return &State{
		shard: shard, epoch: epoch, retention: retention,
		rights: map[BudgetKey]*Right{}, records: map[string]*Record{},
	}
}

// Shard returns the id of the shard.
func (s *State) Shard() ShardID { return s.shard }

// Epoch returns the current epoch.
func (s *State) Epoch() uint64 { return s.epoch }

// LostThrough returns the highest epoch whose state was lost, or 0.
func (s *State) LostThrough() uint64 { return s.lostThrough }

// Index returns the number of mutations applied since the shard began.
func (s *State) Index() uint64 { return s.index }

// Right returns the shard's right on a budget.
func (s *State) Right(b BudgetKey) Right {
	if r := s.rights[b]; r != nil {
		return *r
	}
	return Right{}
}

// Budgets returns all budgets on which the shard holds a right.
func (s *State) Budgets() []BudgetKey {
	keys := make([]BudgetKey, 0, len(s.rights))
	for k := range s.rights {
		keys = append(keys, k)
	}
	return keys
}

// Sizes returns the number of budgets and of request records.
func (s *State) Sizes() (budgets, records int) { return len(s.rights), len(s.records) }

// Lookup returns the public view of a request.
func (s *State) Lookup(id string) (RequestStatus, bool) {
	r := s.records[id]
	if r == nil {
		return RequestStatus{}, false
	}
	return RequestStatus{
		ID: r.ID, State: r.State, Charged: r.Charged, Reserved: r.Reserved, Service: r.Service, Budget: r.Budget,
		Dispatcher: r.Dispatcher, UpdatedAtMillis: r.UpdatedAtMillis,
	}, true
}

// Running returns the views of all running requests.
func (s *State) Running() []RequestStatus {
	var out []RequestStatus
	for id, r := range s.records {
		if r.State == StateRunning {
			v, _ := s.Lookup(id)
			out = append(out, v)
		}
	}
	return out
}

// Sealed returns the segments that the store has not confirmed yet.
func (s *State) Sealed() []Segment { return s.sealed }

// NumUnsealed returns the number of bill lines that are in no segment yet.
func (s *State) NumUnsealed() int { return len(s.unsealed) }

func (s *State) right(b BudgetKey) *Right {
	r := s.rights[b]
	if r == nil {
		r = &Right{}
		s.rights[b] = r
	}
	return r
}

// Retention classes.
const (
	classRepeatable = iota
	classNonRepeatable
	classInternal
	classes
)

// internalRetention is how long the record of an internal id is kept after its
// end: late messages between instances are older than that only if a clock is
// wrong by as much.
const internalRetention = 2 * time.Minute

func retentionClass(kind IDKind, repeatable bool) int {
	switch {
	case kind == Internal:
		return classInternal
	case repeatable:
		return classRepeatable
	}
	return classNonRepeatable
}

// class returns the retention class of the record.
func (r *Record) class() int {
	kind, _, _ := strings.Cut(r.ID, idSeparator)
	return retentionClass(IDKind(kind), r.Repeatable)
}

func (s *State) retentionOf(class int) time.Duration {
	switch class {
	case classInternal:
		return min(internalRetention, s.retention.Repeatable)
	case classRepeatable:
		return s.retention.Repeatable
	}
	return s.retention.NonRepeatable
}

type snapshot struct {
	Format      int                    `cbor:"1,keyasint"`
	Shard       ShardID                `cbor:"2,keyasint"`
	Epoch       uint64                 `cbor:"3,keyasint"`
	LostThrough uint64                 `cbor:"4,keyasint"`
	LostAt      int64                  `cbor:"5,keyasint"`
	Index       uint64                 `cbor:"6,keyasint"`
	Rights      map[BudgetKey]*Right   `cbor:"7,keyasint"`
	Records     []*Record              `cbor:"8,keyasint"`
	Ended       [classes][]endedRecord `cbor:"9,keyasint"`
	Purged      [classes]int64         `cbor:"10,keyasint"`
	Unsealed    []BillLine             `cbor:"11,keyasint"`
	Sealed      []Segment              `cbor:"12,keyasint"`
	NextSeal    uint64                 `cbor:"13,keyasint"`
	EpochAt     int64                  `cbor:"14,keyasint"`
}

// Snapshot returns the whole state as CBOR.
func (s *State) Snapshot() ([]byte, error) {
	v := snapshot{
		Format: FormatVersion, Shard: s.shard, Epoch: s.epoch, LostThrough: s.lostThrough, LostAt: s.lostAt,
		Index: s.index, Rights: s.rights, Ended: s.ended, Purged: s.purged,
		Unsealed: s.unsealed, Sealed: s.sealed, NextSeal: s.nextSeal, EpochAt: s.epochAt,
	}
	for _, r := range s.records {
		v.Records = append(v.Records, r)
	}
	return cbor.Marshal(v)
}

// maxSnapshotElements bounds the records and rights of a snapshot. The library's
// default of 131,072 is less than the records of a busy shard.
const maxSnapshotElements = 1 << 24

var snapshotMode = mustMode(cbor.DecOptions{MaxArrayElements: maxSnapshotElements, MaxMapPairs: maxSnapshotElements}.DecMode())

func mustMode(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Restore reads a snapshot.
func Restore(data []byte, retention Retention) (*State, error) {
	var v snapshot
	if err := snapshotMode.Unmarshal(data, &v); err != nil {
		return nil, failure.New(failure.Format, "run the same release on all instances of the domain", "shard snapshot cannot be decoded: %v", err)
	}
	if v.Format != FormatVersion {
		return nil, failure.New(failure.Format, "run the same release on all instances of the domain",
			"shard snapshot has format %d, this release reads format %d", v.Format, FormatVersion)
	}
	s := NewState(v.Shard, v.Epoch, retention)
	s.lostThrough, s.lostAt, s.index, s.epochAt = v.LostThrough, v.LostAt, v.Index, v.EpochAt
	s.ended, s.purged = v.Ended, v.Purged
	s.unsealed, s.sealed, s.nextSeal = v.Unsealed, v.Sealed, v.NextSeal
	if v.Rights != nil {
		s.rights = v.Rights
	}
	for _, r := range v.Records {
		s.records[r.ID] = r
	}
	return s, nil
}
