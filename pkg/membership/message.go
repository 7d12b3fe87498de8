package membership

import (
	"hash/fnv"
	"maps"
	"slices"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// MethodHeartbeat is the method name of heartbeats.
const MethodHeartbeat peer.Method = "heartbeat"

// heartbeat is both the request and the answer. Status and View are sent only
// when the receiver does not have their version, so that most heartbeats are
// small: at the target size an instance takes part in more than 50 per second.
type heartbeat struct {
	StatusVersion uint32 `cbor:"1,keyasint"`
	ViewVersion   uint32 `cbor:"2,keyasint"`
	// AckedStatus and AckedView are the versions of the receiver's status and
	// view that the sender has.
	AckedStatus uint32  `cbor:"3,keyasint,omitempty"`
	AckedView   uint32  `cbor:"4,keyasint,omitempty"`
	Status      *status `cbor:"5,keyasint,omitempty"`
	View        *view   `cbor:"6,keyasint,omitempty"`
}

// status identifies the sender and carries its report.
type status struct {
	Identity peer.Identity `cbor:"1,keyasint"`
	Report   Report        `cbor:"2,keyasint"`
}

// view lists the addresses that are live according to the sender.
type view struct {
	// Domain lists the addresses of the sender's domain.
	Domain []string `cbor:"1,keyasint,omitempty"`
	// Contacts lists a few addresses of each other domain.
	Contacts map[string][]string `cbor:"2,keyasint,omitempty"`
}

func (r Report) equal(o Report) bool {
	return r.Draining == o.Draining && r.ConfigGeneration == o.ConfigGeneration && maps.Equal(r.ShardMaps, o.ShardMaps)
}

func (v view) equal(o view) bool {
	return slices.Equal(v.Domain, o.Domain) && maps.EqualFunc(v.Contacts, o.Contacts, slices.Equal)
}

// firstVersion derives the first version from the incarnation, so that versions
// of different incarnations differ: a peer that does not know of a restart
// still acknowledges a version of the old incarnation. 16 bits keep most
// heartbeats at 17 bytes. If two versions collide, peers notice the restart
// only when the new incarnation makes its first call.
func firstVersion(incarnation string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(incarnation)) // never fails
	return h.Sum32()>>16 | 1
}

// isNewer compares versions that may wrap around. A b of 0 means that there is
// no version yet.
func isNewer(a, b uint32) bool { return b == 0 || int32(a-b) > 0 }
