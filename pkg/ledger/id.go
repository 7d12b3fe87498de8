package ledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// IDKind tells who chose a request id.
type IDKind string

// Kinds of request ids; the text is the prefix of the id.
const (
	// Issued ids are made by an instance and name the epoch of their shard.
	Issued IDKind = "r1"
	// Internal ids are made by an instance for a request whose caller sent none. No
	// caller repeats them, so their records are kept for a short time only.
	Internal IDKind = "i1"
	// CallerKey ids are derived from the caller's own idempotency key.
	CallerKey IDKind = "k1"
)

// ShardID names a ledger shard.
type ShardID struct {
	Domain string `cbor:"1,keyasint" json:"domain"`
	Shard  int    `cbor:"2,keyasint" json:"shard"`
}

// String returns the form "domain/shard".
func (s ShardID) String() string { return s.Domain + "/" + strconv.Itoa(s.Shard) }

// RequestID identifies a request and names the one shard that may run it.
type RequestID struct {
	Kind  IDKind
	Shard ShardID
	// Epoch of the shard when the id was issued; 0 for a CallerKey.
	Epoch uint64
	// IssuedAtMillis is the issuer's wall clock in ms since 1970; 0 for a CallerKey.
	IssuedAtMillis int64
	// Nonce is unique among ids of equal Mint; for a CallerKey it is the hash
	// of workspace and key.
	Nonce string
}

// idSeparator may not occur in the name of a failure domain.
const idSeparator = "."

const (
	nonceBytes   = 10 // 80 random bits: no collision at 5,000 ids/s within one ms
	keyHashBytes = 16 // 128 bits of SHA-256: keys cannot be made to collide
)

// NewIssuedID returns a fresh id that only shard may run.
func NewIssuedID(shard ShardID, epoch uint64, now time.Time) RequestID {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never fails
	return RequestID{Kind: Issued, Shard: shard, Epoch: epoch, IssuedAtMillis: now.UnixMilli(), Nonce: hex.EncodeToString(nonce[:])}
}

// NewCallerKeyID returns the id of a caller's own key. domain is the home domain
// of the key.
func NewCallerKeyID(shard ShardID, workspace, key string) RequestID {
	return RequestID{Kind: CallerKey, Shard: shard, Nonce: KeyHash(workspace, key)}
}

// KeyHash returns the hash that stands for a caller's own key.
func KeyHash(workspace, key string) string {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(sum[:keyHashBytes])
}

// String returns the text form, which callers send as Idempotency-Key.
func (id RequestID) String() string {
	parts := []string{string(id.Kind), id.Shard.Domain, strconv.Itoa(id.Shard.Shard)}
	if id.Kind != CallerKey {
		parts = append(parts, strconv.FormatUint(id.Epoch, 10), strconv.FormatInt(id.IssuedAtMillis, 10))
	}
	return strings.Join(append(parts, id.Nonce), idSeparator)
}

// IsIssuedID reports whether text has the prefix of an issued id.
func IsIssuedID(text string) bool {
	return strings.HasPrefix(text, string(Issued)+idSeparator)
}

// ParseRequestID reads the text form. It fails with failure.Invalid, also for a
// text that String would not return, such as a number with a leading zero: records
// are found by their text, so an id must not have two of them.
func ParseRequestID(text string) (RequestID, error) {
	malformed := failure.New(failure.Invalid,
		"send the id exactly as POST /v1/request-ids returned it", "request id %q is malformed", text)
	id, err := parseID(strings.Split(text, idSeparator), malformed)
	if err == nil && id.String() != text {
		return RequestID{}, malformed
	}
	return id, err
}

func parseID(p []string, malformed error) (RequestID, error) {
	switch {
	case len(p) == 6 && (IDKind(p[0]) == Issued || IDKind(p[0]) == Internal):
		return parseIssued(p, malformed)
	case len(p) == 4 && IDKind(p[0]) == CallerKey:
		shard, err := strconv.Atoi(p[2])
		if err != nil || shard < 0 || p[1] == "" || p[3] == "" {
			return RequestID{}, malformed
		}
		return RequestID{Kind: CallerKey, Shard: ShardID{p[1], shard}, Nonce: p[3]}, nil
	}
	return RequestID{}, malformed
}

func parseIssued(p []string, malformed error) (RequestID, error) {
	shard, err1 := strconv.Atoi(p[2])
	epoch, err2 := strconv.ParseUint(p[3], 10, 64)
	mint, err3 := strconv.ParseInt(p[4], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || shard < 0 || mint < 0 || p[1] == "" || p[5] == "" {
		return RequestID{}, malformed
	}
	return RequestID{Kind: IDKind(p[0]), Shard: ShardID{p[1], shard}, Epoch: epoch, IssuedAtMillis: mint, Nonce: p[5]}, nil
}

// BudgetKey names a budget.
type BudgetKey struct {
	Workspace string `cbor:"1,keyasint" json:"workspace"`
	Budget    string `cbor:"2,keyasint" json:"budget"`
}

// String returns the form "workspace/budget".
func (k BudgetKey) String() string { return k.Workspace + "/" + k.Budget }

// StoreKey returns the key of the budget's record in the platform store.
func (k BudgetKey) StoreKey() string { return "budgets/" + k.Workspace + "/" + k.Budget }

// ShardOf returns the shard number of a budget among shards.
func ShardOf(k BudgetKey, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.String()))
	return int(h.Sum32() % uint32(shards))
}
