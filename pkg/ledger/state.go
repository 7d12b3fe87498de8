package ledger

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// State holds the rights, records and bill lines of one shard. It is not safe for
// concurrent use.
type State struct {
	shard     ShardID
	retention Retention

	epoch            uint64
	epochStartMillis int64 // start of the epoch on the owner's wall clock, in ms since 1970
	lostThrough      uint64
	lostAtMillis     int64 // loss of the last lost epoch on the owner's wall clock, in ms since 1970; 0 if none was lost

	index          uint64
	rights         map[BudgetKey]*Right
	records        map[string]*Record
	expiryQueues   [numClasses][]endedRecord // by retention class, in the order in which attempts ended
	purgedThrough  [numClasses]int64         // highest issue time of a dropped record in ms, by retention class
	unsealed       []BillLine
	sealed         []Segment
	nextSegmentSeq uint64
}

// Right is the share of one budget that a shard may charge, with its use.
type Right struct {
	// Granted mirrors the shard's grant in the budget record.
	Granted Tokens `cbor:"1,keyasint"`
	// Charged is the sum of the charges of ended requests. A request whose outcome
	// is unknown counts with its whole reservation.
	Charged Tokens `cbor:"2,keyasint"`
	// Reserved is the sum of the reservations of running requests.
	Reserved Tokens `cbor:"3,keyasint"`
	// Returning is true while a lower grant is being written to the store. The
	// shard then uses at most ReturnTo. Returning stays true until the version of
	// the budget record has passed ReturnVersion, because a delayed write may still
	// take effect.
	Returning     bool   `cbor:"4,keyasint,omitempty"`
	ReturnTo      Tokens `cbor:"5,keyasint,omitempty"`
	ReturnVersion uint64 `cbor:"6,keyasint,omitempty"`
	// Version is the highest version of the budget record that was mirrored. A read
	// that returns a lower one is stale and must not raise Granted again.
	Version uint64 `cbor:"7,keyasint,omitempty"`
}

// Available returns the amount that can still be reserved.
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
	// IssuedAtMillis is copied from the request id; 0 for a CallerKey.
	IssuedAtMillis int64 `cbor:"16,keyasint"`
	// Epoch is the epoch of the last change of state. UpdatedAtMillis is on the
	// clock of the owner of that epoch.
	Epoch uint64 `cbor:"17,keyasint"`
	// NotRunAtMillis is the owner's wall clock in ms since 1970 at which an earlier
	// attempt was recorded as not run, and NotRunEpoch is the epoch of that owner.
	// Both are 0 if there is no such attempt. The replies to every later attempt
	// and to every repeated call report it.
	NotRunAtMillis int64  `cbor:"18,keyasint,omitempty"`
	NotRunEpoch    uint64 `cbor:"19,keyasint,omitempty"`
	// MayHaveRunBefore is true when an earlier attempt may have run. ChargedBefore
	// is the charge of the request if the current attempt does not run.
	MayHaveRunBefore bool   `cbor:"20,keyasint,omitempty"`
	ChargedBefore    Tokens `cbor:"21,keyasint,omitempty"`
}

// endedRecord is an entry of an expiry queue.
type endedRecord struct {
	ID            string `cbor:"1,keyasint"`
	EndedAtMillis int64  `cbor:"2,keyasint"`
}

// Segment is a batch of bill lines. It has its own key in the store, so writing
// it twice has no effect.
type Segment struct {
	Epoch uint64     `cbor:"1,keyasint" json:"epoch"`
	Seq   uint64     `cbor:"2,keyasint" json:"seq"`
	Lines []BillLine `cbor:"3,keyasint" json:"lines"`
}

// NewState returns the state of an empty shard in the given epoch.
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

// Index returns the index of the last mutation applied.
func (s *State) Index() uint64 { return s.index }

// Right returns the shard's right on a budget, or an empty right if it holds none.
func (s *State) Right(b BudgetKey) Right {
	if r := s.rights[b]; r != nil {
		return *r
	}
	return Right{}
}

// Budgets returns the budgets that have a right in this shard, in no order.
func (s *State) Budgets() []BudgetKey {
	keys := make([]BudgetKey, 0, len(s.rights))
	for k := range s.rights {
		keys = append(keys, k)
	}
	return keys
}

// Sizes returns the number of budgets and of request records.
func (s *State) Sizes() (budgets, records int) { return len(s.rights), len(s.records) }

// Lookup returns the public view of a request record and whether it exists.
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

// Running returns the public views of all running requests, in no order.
func (s *State) Running() []RequestStatus {
	var running []RequestStatus
	for id, r := range s.records {
		if r.State == StateRunning {
			status, _ := s.Lookup(id)
			running = append(running, status)
		}
	}
	return running
}

// Sealed returns the segments that are not yet known to be in the store. The
// caller must not modify them.
func (s *State) Sealed() []Segment { return s.sealed }

// NumUnsealed returns the number of bill lines that are not yet in a segment.
func (s *State) NumUnsealed() int { return len(s.unsealed) }

func (s *State) right(b BudgetKey) *Right {
	r := s.rights[b]
	if r == nil {
		r = &Right{}
		s.rights[b] = r
	}
	return r
}

// Retention classes, the indices of State.expiryQueues and State.purgedThrough.
const (
	classRepeatable = iota
	classNonRepeatable
	classInternal
	numClasses
)

// internalRetention is the retention of the records of internal ids. A message
// between instances arrives later than that only if a clock is wrong by as much.
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

// retentionClass returns the retention class of the record.
func (r *Record) retentionClass() int {
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

// snapshot is the encoded form of a State.
type snapshot struct {
	Format           int                       `cbor:"1,keyasint"`
	Shard            ShardID                   `cbor:"2,keyasint"`
	Epoch            uint64                    `cbor:"3,keyasint"`
	LostThrough      uint64                    `cbor:"4,keyasint"`
	LostAtMillis     int64                     `cbor:"5,keyasint"`
	Index            uint64                    `cbor:"6,keyasint"`
	Rights           map[BudgetKey]*Right      `cbor:"7,keyasint"`
	Records          []*Record                 `cbor:"8,keyasint"`
	ExpiryQueues     [numClasses][]endedRecord `cbor:"9,keyasint"`
	PurgedThrough    [numClasses]int64         `cbor:"10,keyasint"`
	Unsealed         []BillLine                `cbor:"11,keyasint"`
	Sealed           []Segment                 `cbor:"12,keyasint"`
	NextSegmentSeq   uint64                    `cbor:"13,keyasint"`
	EpochStartMillis int64                     `cbor:"14,keyasint"`
}

// Snapshot returns the complete state, encoded as CBOR.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Format: FormatVersion, Shard: s.shard, Epoch: s.epoch, LostThrough: s.lostThrough, LostAtMillis: s.lostAtMillis,
		Index: s.index, Rights: s.rights, ExpiryQueues: s.expiryQueues, PurgedThrough: s.purgedThrough,
		Unsealed: s.unsealed, Sealed: s.sealed, NextSegmentSeq: s.nextSegmentSeq, EpochStartMillis: s.epochStartMillis,
	}
	for _, r := range s.records {
		snap.Records = append(snap.Records, r)
	}
	return cbor.Marshal(snap)
}

// maxSnapshotElements limits the records and rights of a snapshot. The default of
// the CBOR library, 131,072, is less than the records of a busy shard.
const maxSnapshotElements = 1 << 24

var snapshotDecMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxSnapshotElements, MaxMapPairs: maxSnapshotElements}.DecMode())

func mustDecMode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Restore decodes a snapshot. It fails with failure.Format if data is not a
// snapshot or has another format version.
func Restore(data []byte, retention Retention) (*State, error) {
	var snap snapshot
	if err := snapshotDecMode.Unmarshal(data, &snap); err != nil {
		return nil, failure.New(failure.Format, "run the same release on all instances of the domain", "shard snapshot cannot be decoded: %v", err)
	}
	if snap.Format != FormatVersion {
		return nil, failure.New(failure.Format, "run the same release on all instances of the domain",
			"shard snapshot has format %d, this release reads format %d", snap.Format, FormatVersion)
	}
	s := NewState(snap.Shard, snap.Epoch, retention)
	s.lostThrough, s.lostAtMillis, s.index, s.epochStartMillis = snap.LostThrough, snap.LostAtMillis, snap.Index, snap.EpochStartMillis
	s.expiryQueues, s.purgedThrough = snap.ExpiryQueues, snap.PurgedThrough
	s.unsealed, s.sealed, s.nextSegmentSeq = snap.Unsealed, snap.Sealed, snap.NextSegmentSeq
	if snap.Rights != nil {
		s.rights = snap.Rights
	}
	for _, r := range snap.Records {
		s.records[r.ID] = r
	}
	return s, nil
}
