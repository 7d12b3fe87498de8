package membership

import (
	"hash/fnv"
	"maps"
	"slices"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// MethodHeartbeat is the method of heartbeats.
const MethodHeartbeat peer.Method = "heartbeat"

// heartbeat is the request and the answer. Status and view are sent only when
// the other side does not know their version, so that a usual heartbeat is
// small: at the target size an instance takes part in more than 50 per second.
type heartbeat struct {
	StatusVersion uint32 `cbor:"1,keyasint"`
	ViewVersion   uint32 `cbor:"2,keyasint"`
	// KnowsStatus and KnowsView are the receiver's versions that the sender has.
	KnowsStatus uint32  `cbor:"3,keyasint,omitempty"`
	KnowsView   uint32  `cbor:"4,keyasint,omitempty"`
	Status      *status `cbor:"5,keyasint,omitempty"`
	View        *view   `cbor:"6,keyasint,omitempty"`
}

// status is who the sender is and what it reports.
type status struct {
	Identity peer.Identity `cbor:"1,keyasint"`
	Report   Report        `cbor:"2,keyasint"`
}

// view is the live addresses that the sender knows.
type view struct {
	// Domain has the addresses of the sender's domain.
	Domain []string `cbor:"1,keyasint,omitempty"`
	// Contacts has a few addresses of each other domain.
	Contacts map[string][]string `cbor:"2,keyasint,omitempty"`
}

func (r Report) equal(o Report) bool {
	return r.Draining == o.Draining && r.ConfigGeneration == o.ConfigGeneration && maps.Equal(r.ShardMaps, o.ShardMaps)
}

func (v view) equal(o view) bool {
	return slices.Equal(v.Domain, o.Domain) && maps.EqualFunc(v.Contacts, o.Contacts, slices.Equal)
}

// firstVersion makes the versions of different incarnations differ, because a
// peer that has not heard of a restart still names a version of the old one. 16
// bits keep the usual heartbeat at 17 bytes. Equal versions only delay the
// notice of a restart until the new incarnation makes its own first call.
func firstVersion(incarnation string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(incarnation)) // never fails
	return h.Sum32()>>16 | 1
}

// newer compares versions that may wrap around. Version 0 means "none".
func newer(a, b uint32) bool { return b == 0 || int32(a-b) > 0 }
