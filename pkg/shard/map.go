package shard

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// mapFormat is the version of the stored form of a shard map.
const mapFormat = 1

// Map is the shard map of one failure domain. It is changed only by compare-and-swap on
// the store.
type Map struct {
	Format int    `cbor:"1,keyasint" json:"format"`
	Domain string `cbor:"2,keyasint" json:"domain"`
	// Shards is indexed by shard number.
	Shards []Entry `cbor:"3,keyasint" json:"shards"`
}

// Entry is the ownership of one shard.
type Entry struct {
	// Epoch increases with each change of owner or backup. An entry at epoch 0 has never
	// had an owner.
	Epoch  uint64        `cbor:"1,keyasint" json:"epoch"`
	Owner  peer.Identity `cbor:"2,keyasint" json:"owner"`
	Backup peer.Identity `cbor:"3,keyasint" json:"backup"`
	// Pending is the last epoch that served, while the owner has yet to fetch its state.
	// The owner does not serve before Pending is cleared.
	Pending *Pending `cbor:"4,keyasint,omitempty" json:"pending,omitempty"`
	// LostThrough is the highest epoch whose state was lost.
	LostThrough uint64 `cbor:"5,keyasint,omitempty" json:"lost_through,omitempty"`
}

// Pending names the replicas that may hold the state of an epoch.
type Pending struct {
	Epoch  uint64        `cbor:"1,keyasint" json:"epoch"`
	Owner  peer.Identity `cbor:"2,keyasint" json:"owner"`
	Backup peer.Identity `cbor:"3,keyasint" json:"backup"`
}

// StoreKey returns the key of a domain's shard map in the store.
func StoreKey(domain string) string { return "shards/" + domain }

// NewMap returns a map whose shards have no owner.
func NewMap(domain string, shards int) *Map {
	return &Map{Format: mapFormat, Domain: domain, Shards: make([]Entry, shards)}
}

// Clone returns a copy whose entries can be replaced without changing m.
func (m *Map) Clone() *Map {
	c := *m
	c.Shards = slices.Clone(m.Shards)
	return &c
}

// IsFullyAssigned reports whether each shard has been assigned an owner at least
// once.
func (m *Map) IsFullyAssigned() bool {
	return !slices.ContainsFunc(m.Shards, func(e Entry) bool { return e.Epoch == 0 })
}

// Encode returns the stored form of the map.
func (m *Map) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMap decodes the stored form of a map. It fails with failure.Format if data
// cannot be decoded or has another format version.
func DecodeMap(data []byte) (*Map, error) {
	m := &Map{}
	if err := cbor.Unmarshal(data, m); err != nil {
		return nil, failure.New(failure.Format, "restore the record from the platform's backup", "shard map cannot be decoded: %v", err)
	}
	if m.Format != mapFormat {
		return nil, failure.New(failure.Format, "upgrade this instance to the release that wrote the record",
			"shard map has format %d, this release reads format %d", m.Format, mapFormat)
	}
	return m, nil
}

func isAssigned(id peer.Identity) bool { return id.Incarnation != "" }

// isSameIncarnation reports whether a and b are the same incarnation. It is false if a
// is not set.
func isSameIncarnation(a, b peer.Identity) bool {
	return isAssigned(a) && a.Incarnation == b.Incarnation
}
