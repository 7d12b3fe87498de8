package ledger

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// FormatVersion is the format version of budget records and shard snapshots.
const FormatVersion = 1

// maxAppliedCommands limits the command ids that a budget record keeps to detect
// duplicates: 4,096 ids of 40 bytes stay well below the 1 MB limit of a stored
// value.
const maxAppliedCommands = 4096

// BudgetRecord is the record of a budget in the platform store. It keeps the
// invariant Unassigned() >= 0, so the sum of all rights never exceeds the amount
// paid.
type BudgetRecord struct {
	Format int `cbor:"1,keyasint" json:"format"`
	// Paid is the sum of all top-ups.
	Paid     Tokens           `cbor:"2,keyasint" json:"paid"`
	Applied  []AppliedCommand `cbor:"3,keyasint" json:"applied"`
	Grants   []Grant          `cbor:"4,keyasint" json:"grants"`
	Stranded []Stranded       `cbor:"5,keyasint" json:"stranded"`
}

// AppliedCommand is an operator command that changed the budget record. It is
// kept to detect a repeat of the command.
type AppliedCommand struct {
	Command string `cbor:"1,keyasint" json:"command"`
	Amount  Tokens `cbor:"2,keyasint" json:"amount"`
}

// Grant is the right of one shard to charge the budget.
type Grant struct {
	Shard ShardID `cbor:"1,keyasint" json:"shard"`
	Epoch uint64  `cbor:"2,keyasint" json:"epoch"`
	// Granted is the total that the shard may charge, including past charges.
	Granted Tokens `cbor:"3,keyasint" json:"granted"`
	// Charged is the amount that the shard had charged when it last wrote the
	// record.
	Charged Tokens `cbor:"4,keyasint" json:"charged"`
}

// Stranded is a grant whose epoch was lost. It counts as spent in full.
type Stranded struct {
	Shard ShardID `cbor:"1,keyasint" json:"shard"`
	Epoch uint64  `cbor:"2,keyasint" json:"epoch"`
	// Amount is the granted amount minus what operators reclaimed.
	Amount Tokens `cbor:"3,keyasint" json:"amount"`
	// Charged is the part of Amount that is known to be spent.
	Charged Tokens `cbor:"4,keyasint" json:"charged"`
}

// DecodeBudget decodes a stored record. Empty data yields a record without
// payments. It fails with failure.Format if data is not a record or has another
// format version.
func DecodeBudget(data []byte) (*BudgetRecord, error) {
	if len(data) == 0 {
		return &BudgetRecord{Format: FormatVersion}, nil
	}
	r := &BudgetRecord{}
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, failure.New(failure.Format, "restore the record from the platform's backup", "budget record cannot be decoded: %v", err)
	}
	if r.Format != FormatVersion {
		return nil, failure.New(failure.Format, "upgrade this instance to the release that wrote the record",
			"budget record has format %d, this release reads format %d", r.Format, FormatVersion)
	}
	return r, nil
}

// Encode returns the record in its stored form, CBOR.
func (r *BudgetRecord) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Unassigned returns the paid amount that is neither granted to a shard nor
// stranded.
func (r *BudgetRecord) Unassigned() Tokens {
	unassigned := r.Paid
	for _, g := range r.Grants {
		unassigned -= g.Granted
	}
	for _, s := range r.Stranded {
		unassigned -= s.Amount
	}
	return unassigned
}

// Charged returns the amount that is known to be spent. Stranded grants count
// with their known charges only.
func (r *BudgetRecord) Charged() Tokens {
	var sum Tokens
	for _, g := range r.Grants {
		sum += g.Charged
	}
	for _, s := range r.Stranded {
		sum += s.Charged
	}
	return sum
}

// HasApplied reports whether the command is among the latest commands that
// changed the record.
func (r *BudgetRecord) HasApplied(command string) bool {
	return slices.ContainsFunc(r.Applied, func(a AppliedCommand) bool { return a.Command == command })
}

// TopUp adds amount to the budget. It reports whether the record changed: a
// repeated command changes nothing. It fails with failure.Invalid if amount is
// not between 1 and MaxTokens.
func (r *BudgetRecord) TopUp(command string, amount Tokens) (bool, error) {
	if amount <= 0 || amount > MaxTokens {
		return false, failure.New(failure.Invalid, "give an amount between 1 and 2^42 tokens", "top-up of %d tokens is out of range", amount)
	}
	if r.HasApplied(command) {
		return false, nil
	}
	r.Paid += amount
	r.recordApplied(command, amount)
	return true, nil
}

func (r *BudgetRecord) recordApplied(command string, amount Tokens) {
	r.Applied = append(r.Applied, AppliedCommand{command, amount})
	if excess := len(r.Applied) - maxAppliedCommands; excess > 0 {
		r.Applied = slices.Delete(r.Applied, 0, excess)
	}
}

// Reclaim returns amount of a stranded grant to the budget and reports whether
// the record changed: a repeated command changes nothing. With this command the
// operator states that the instances of the epoch have ended. It fails with
// failure.NotFound if there is no such grant, and with failure.Invalid if amount
// exceeds the part that is not known to be spent.
func (r *BudgetRecord) Reclaim(command string, shard ShardID, epoch uint64, amount Tokens) (bool, error) {
	if r.HasApplied(command) {
		return false, nil
	}
	i := slices.IndexFunc(r.Stranded, func(s Stranded) bool { return s.Shard == shard && s.Epoch == epoch })
	if i < 0 {
		return false, failure.New(failure.NotFound, "list the stranded grants with the query stranded",
			"shard %s has no stranded grant of epoch %d", shard, epoch)
	}
	s := &r.Stranded[i]
	if amount <= 0 || amount > s.Amount-s.Charged {
		return false, failure.New(failure.Invalid, "give an amount within the stranded rest",
			"cannot reclaim %d tokens, the grant has %d that are not known to be spent", amount, s.Amount-s.Charged)
	}
	s.Amount -= amount
	r.recordApplied(command, amount)
	return true, nil
}

// GrantOf returns the grant of a shard, or an empty grant if there is none.
func (r *BudgetRecord) GrantOf(shard ShardID) Grant {
	for _, g := range r.Grants {
		if g.Shard == shard {
			return g
		}
	}
	return Grant{Shard: shard}
}

// SetGrant replaces the grant of a shard. It fails with failure.BudgetExhausted
// if the sum of all rights would exceed the amount paid.
func (r *BudgetRecord) SetGrant(g Grant) error {
	current := r.GrantOf(g.Shard)
	if increase := g.Granted - current.Granted; increase > 0 && increase > r.Unassigned() {
		return failure.New(failure.BudgetExhausted, "top the budget up", "budget has %d tokens left to grant, %d were requested", r.Unassigned(), increase)
	}
	i := slices.IndexFunc(r.Grants, func(other Grant) bool { return other.Shard == g.Shard })
	if i < 0 {
		r.Grants = append(r.Grants, g)
		return nil
	}
	r.Grants[i] = g
	return nil
}

// Strand moves the grant of a shard to the stranded grants if its epoch is at
// most lostThrough. It reports whether the record changed.
func (r *BudgetRecord) Strand(shard ShardID, lostThrough uint64) bool {
	i := slices.IndexFunc(r.Grants, func(g Grant) bool { return g.Shard == shard && g.Epoch <= lostThrough })
	if i < 0 {
		return false
	}
	g := r.Grants[i]
	r.Grants = slices.Delete(r.Grants, i, i+1)
	if g.Granted > 0 {
		r.addStranded(Stranded{Shard: shard, Epoch: g.Epoch, Amount: g.Granted, Charged: g.Charged})
	}
	return true
}

// addStranded adds s to the stranded grants. It merges s with an entry of the
// same shard and epoch: an owner that resumes after it was fenced may write its
// grant again after the first one was stranded.
func (r *BudgetRecord) addStranded(s Stranded) {
	for i := range r.Stranded {
		if r.Stranded[i].Shard == s.Shard && r.Stranded[i].Epoch == s.Epoch {
			r.Stranded[i].Amount += s.Amount
			r.Stranded[i].Charged += s.Charged
			return
		}
	}
	r.Stranded = append(r.Stranded, s)
}
