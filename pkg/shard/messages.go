package shard

import (
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Methods of calls between instances.
const (
	MethodReserve   peer.Method = "ledger.reserve"
	MethodSettle    peer.Method = "ledger.settle"
	MethodLookup    peer.Method = "ledger.lookup"
	MethodReplicate peer.Method = "ledger.replicate"
	MethodInstall   peer.Method = "ledger.install"
	MethodFence     peer.Method = "ledger.fence"
	MethodRelease   peer.Method = "ledger.release"
	MethodHandover  peer.Method = "ledger.handover"
	MethodRecall    peer.Method = "ledger.recall"
	MethodMapFetch  peer.Method = "shardmap.fetch"
)

// installRequest carries one part of a snapshot of a shard's state. The replica
// restores the state when the last part has arrived.
type installRequest struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Session increases with each snapshot that the owner sends, so that late messages
	// of an earlier session are refused.
	Session uint64 `cbor:"3,keyasint"`
	// Part begins at byte Offset of the snapshot, which has Total bytes.
	Part   []byte `cbor:"4,keyasint"`
	Offset int    `cbor:"5,keyasint,omitempty"`
	Total  int    `cbor:"6,keyasint"`
}

// replicateRequest carries mutations in the order in which they are applied.
type replicateRequest struct {
	Shard     int                `cbor:"1,keyasint"`
	Epoch     uint64             `cbor:"2,keyasint"`
	Session   uint64             `cbor:"3,keyasint"`
	Mutations []*ledger.Mutation `cbor:"4,keyasint"`
}

// replicateReply acknowledges all mutations up to Index.
type replicateReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// fenceRequest fences an epoch at a replica and asks for one part of its state.
type fenceRequest struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Target is the incarnation that the shard map names; another incarnation
	// at the same address holds no state.
	Target string `cbor:"3,keyasint"`
	// Offset is the byte at which the requested part of the snapshot begins.
	Offset int `cbor:"4,keyasint,omitempty"`
}

// fenceReply carries one part of the snapshot, if the replica holds the state.
type fenceReply struct {
	HasState bool   `cbor:"1,keyasint"`
	Part     []byte `cbor:"2,keyasint,omitempty"`
	// Total is the size of the whole snapshot in bytes.
	Total int `cbor:"3,keyasint,omitempty"`
}

// releaseRequest notifies the owner that its backup has permanently dropped its copy.
type releaseRequest struct {
	Shard  int    `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Backup string `cbor:"3,keyasint"`
}

// handoverRequest makes the backup the owner within the same epoch.
type handoverRequest struct {
	Shard   int    `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Session uint64 `cbor:"3,keyasint"`
	Index   uint64 `cbor:"4,keyasint"`
}

// recallRequest asks a shard of another domain to return idle rights.
type recallRequest struct {
	Shard  ledger.ShardID   `cbor:"1,keyasint"`
	Budget ledger.BudgetKey `cbor:"2,keyasint"`
}

// recallReply reports how much was returned to the budget.
type recallReply struct {
	Returned ledger.Tokens `cbor:"1,keyasint"`
}

// lookupRequest asks for the status of a request.
type lookupRequest struct {
	ID string `cbor:"1,keyasint"`
}

// mapFetchRequest asks for the newest shard map that an instance has.
type mapFetchRequest struct {
	Domain string `cbor:"1,keyasint"`
}

// mapFetchReply carries a shard map; Version 0 means that none is known.
type mapFetchReply struct {
	Version uint64 `cbor:"1,keyasint"`
	Map     []byte `cbor:"2,keyasint,omitempty"`
}
