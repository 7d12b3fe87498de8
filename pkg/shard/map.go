package shard

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// mapFormat is the version of the stored form of a shard map.
const mapFormat = 1

// Map is the shard map of one failure domain. It changes only by
// compare-and-swap on the store.
type Map struct {
	Format int    `cbor:"1,keyasint" json:"format"`
	Domain string `cbor:"2,keyasint" json:"domain"`
	// Shards is indexed by shard number.
	Shards []Entry `cbor:"3,keyasint" json:"shards"`
}

// Entry is the ownership of one shard.
type Entry struct {
	// Epoch grows with each change of owner or backup. Epoch 0 has never served.
	Epoch  uint64        `cbor:"1,keyasint" json:"epoch"`
	Owner  peer.Identity `cbor:"2,keyasint" json:"owner"`
	Backup peer.Identity `cbor:"3,keyasint" json:"backup"`
	// Pending is the last epoch that served, while the owner still has to get
	// its state. The owner does not serve before it is cleared.
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

// Clone returns a copy that can be changed.
func (m *Map) Clone() *Map {
	c := *m
	c.Shards = slices.Clone(m.Shards)
	return &c
}

// IsFullyAssigned reports whether each shard has had an owner.
func (m *Map) IsFullyAssigned() bool {
	return !slices.ContainsFunc(m.Shards, func(e Entry) bool { return e.Epoch == 0 })
}

// Encode returns the stored form.
func (m *Map) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMap reads the stored form.
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

func assigned(id peer.Identity) bool { return id.Incarnation != "" }

func same(a, b peer.Identity) bool { return assigned(a) && a.Incarnation == b.Incarnation }
