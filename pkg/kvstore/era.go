package kvstore

// A store that came back from an older copy of its content has lost what it had acknowledged
// since, and gives revisions out again. Each time its era rises. Clients put the era into
// the upper bits of the revisions that they return, so that these grow all the same, and a
// revision of a former era never equals one of the current era.

// revisionBits is the number of lower bits that hold the revision within its era.
const revisionBits = 44

const (
	// MaxRevision is the largest revision within an era, and MaxEra the largest era.
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(64-revisionBits) - 1
)

// InEra returns the revision of an era that a store calls raw, from 0
// to MaxRevision. Revision 0, of a key that does
// not exist, has no era.
func InEra(era, raw uint64) uint64 {
	if raw == 0 {
		return 0
	}
	return era<<revisionBits | raw&(1<<revisionBits-1)
}

// EraOf returns the era of a revision, 0 for stores without eras.
func EraOf(revision uint64) uint64 { return revision >> revisionBits }

// RawRevision returns the revision as the store calls it.
func RawRevision(revision uint64) uint64 { return revision & (1<<revisionBits - 1) }
