package ledger

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

func wantKind(t *testing.T, err error, want failure.Kind) {
	t.Helper()
	if got := failure.KindOf(err); got != want {
		t.Errorf("error %v, want kind %q", err, want)
	}
}

// Guards against changing a record that another release wrote.
func TestDecodeBudget(t *testing.T) {
	encoded := func(format int) []byte {
		data, _ := cbor.Marshal(BudgetRecord{Format: format, Paid: 7})
		return data
	}
	for _, tt := range []struct {
		desc string
		data []byte
		paid Tokens
		kind failure.Kind
	}{
		{"no record yet", nil, 0, ""},
		{"this format", encoded(1), 7, ""},
		{"newer format", encoded(2), 0, failure.Format},
		{"no format", encoded(0), 0, failure.Format},
		{"not CBOR", []byte("paid"), 0, failure.Format},
		{"truncated", encoded(1)[:5], 0, failure.Format},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b, err := DecodeBudget(tt.data)
			wantKind(t, err, tt.kind)
			if err == nil && (b.Paid != tt.paid || b.Format != FormatVersion) {
				t.Errorf("record %+v", b)
			}
		})
	}
}

// Guards against a repeated or absurd top-up that changes the budget.
func TestTopUp(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		command string
		amount  Tokens
		changed bool
		kind    failure.Kind
	}{
		{"new command", "b", 5, true, ""},
		{"repeated command", "a", 5, false, ""},
		{"largest amount", "b", MaxTokens, true, ""},
		{"nothing", "b", 0, false, failure.Invalid},
		{"negative", "b", -1, false, failure.Invalid},
		{"too much", "b", MaxTokens + 1, false, failure.Invalid},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b := &BudgetRecord{Paid: 10, Applied: []AppliedCommand{{"a", 10}}}
			changed, err := b.TopUp(tt.command, tt.amount)
			wantKind(t, err, tt.kind)
			want := Tokens(10)
			if tt.changed {
				want += tt.amount
			}
			if changed != tt.changed || b.Paid != want {
				t.Errorf("changed %v, paid %d, want %v, %d", changed, b.Paid, tt.changed, want)
			}
		})
	}
}

// Guards against a record that grows without bound by command ids.
func TestAppliedCommandsAreBounded(t *testing.T) {
	b := &BudgetRecord{}
	for i := range maxAppliedCommands + 10 {
		if _, err := b.TopUp(time.Duration(i).String(), 1); err != nil {
			t.Fatal(err)
		}
	}
	if len(b.Applied) != maxAppliedCommands || b.HasApplied("9ns") || !b.HasApplied("10ns") {
		t.Errorf("%d command ids kept", len(b.Applied))
	}
}

// Guards against giving back stranded rights that are known to be spent, or twice.
func TestReclaim(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		command string
		epoch   uint64
		amount  Tokens
		left    Tokens
		kind    failure.Kind
	}{
		{"a part", "r", 3, 10, 90, ""},
		{"all that is not known to be spent", "r", 3, 60, 40, ""},
		{"a spent part", "r", 3, 61, 100, failure.Invalid},
		{"nothing", "r", 3, 0, 100, failure.Invalid},
		{"negative", "r", 3, -1, 100, failure.Invalid},
		{"another epoch", "r", 4, 10, 100, failure.NotFound},
		{"repeated command", "a", 3, 10, 100, ""},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b := &BudgetRecord{Paid: 100, Applied: []AppliedCommand{{"a", 100}},
				Stranded: []Stranded{{machineShard, 3, 100, 40}}}
			changed, err := b.Reclaim(tt.command, machineShard, tt.epoch, tt.amount)
			wantKind(t, err, tt.kind)
			if left := b.Stranded[0].Amount; left != tt.left || changed != (tt.left != 100) || b.Unassigned() != 100-tt.left {
				t.Errorf("changed %v, %d left, want %d", changed, left, tt.left)
			}
		})
	}
}

// Guards against rights of a lost epoch that are granted again, and against a
// second stranding of the epoch that replaces the first.
func TestStrand(t *testing.T) {
	for _, tt := range []struct {
		desc     string
		grant    Grant
		lost     uint64
		changed  bool
		stranded Stranded
	}{
		{"epoch lost", Grant{machineShard, 3, 50, 20}, 3, true, Stranded{machineShard, 3, 60, 25}},
		{"later epoch", Grant{machineShard, 4, 50, 20}, 3, false, Stranded{machineShard, 3, 10, 5}},
		{"another shard", Grant{otherShard, 3, 50, 20}, 3, false, Stranded{machineShard, 3, 10, 5}},
		{"empty grant", Grant{machineShard, 3, 0, 0}, 3, true, Stranded{machineShard, 3, 10, 5}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b := &BudgetRecord{Paid: 100, Grants: []Grant{tt.grant}, Stranded: []Stranded{{machineShard, 3, 10, 5}}}
			before, charged := b.Unassigned(), b.Charged()
			if changed := b.Strand(machineShard, tt.lost); changed != tt.changed || b.Stranded[0] != tt.stranded {
				t.Errorf("changed %v, stranded %+v", changed, b.Stranded)
			}
			if b.Unassigned() != before || b.Charged() != charged {
				t.Errorf("unassigned %d, charged %d; before %d, %d", b.Unassigned(), b.Charged(), before, charged)
			}
		})
	}
}

// Guards against ids that are accepted in another form than they were issued.
func TestParseRequestID(t *testing.T) {
	now := time.UnixMilli(1234)
	for _, tt := range []struct {
		desc, text string
		ok         bool
	}{
		{"issued", NewIssuedID(machineShard, 3, now).String(), true},
		{"caller's key", NewCallerKeyID(machineShard, "meals", "k").String(), true},
		{"empty", "", false},
		{"unknown kind", "r2.ikeja.0.3.1234.ab", false},
		{"part missing", "r1.ikeja.0.3.ab", false},
		{"part too many", "r1.ikeja.0.3.1234.ab.cd", false},
		{"no domain", "r1..0.3.1234.ab", false},
		{"no nonce", "r1.ikeja.0.3.1234.", false},
		{"shard not a number", "r1.ikeja.x.3.1234.ab", false},
		{"negative shard", "r1.ikeja.-1.3.1234.ab", false},
		{"negative epoch", "r1.ikeja.0.-3.1234.ab", false},
		{"epoch too large", "r1.ikeja.0.18446744073709551616.1234.ab", false},
		{"negative mint", "r1.ikeja.0.3.-1.ab", false},
		{"sign before the shard", "r1.ikeja.+0.3.1234.ab", false},
		{"leading zero of the epoch", "r1.ikeja.0.03.1234.ab", false},
		{"leading zero of the mint", "r1.ikeja.0.3.01234.ab", false},
		{"key with a sign", "k1.ikeja.+0.ab", false},
		{"key without hash", "k1.ikeja.0.", false},
		{"key with an epoch", "k1.ikeja.0.3.ab", false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			id, err := ParseRequestID(tt.text)
			if (err == nil) != tt.ok {
				t.Fatalf("parsed %+v, %v", id, err)
			}
			if !tt.ok {
				wantKind(t, err, failure.Invalid)
			} else if id.String() != tt.text {
				t.Errorf("%q became %q", tt.text, id.String())
			}
		})
	}
}

// Guards against amounts whose sums overflow, and against requests that reach a
// shard or an epoch that cannot decide on them.
func TestReserveLimits(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	issued := func(epoch uint64, mint time.Time) string {
		return RequestID{Issued, machineShard, epoch, mint.UnixMilli(), "n"}.String()
	}
	for _, tt := range []struct {
		desc   string
		id     string
		amount Tokens
		kind   failure.Kind
	}{
		{"nothing", issued(1, now), 0, ""},
		{"all", issued(1, now), MaxTokens, ""},
		{"negative", issued(1, now), -1, failure.Invalid},
		{"too much", issued(1, now), MaxTokens + 1, failure.Invalid},
		{"another shard", RequestID{Issued, otherShard, 1, 1, "n"}.String(), 1, failure.NotOwner},
		{"later epoch", issued(2, now), 1, failure.NotOwner},
		{"malformed", "r1.ikeja", 1, failure.Invalid},
		{"minted ahead", issued(1, now.Add(retention.NonRepeatable)), 1, ""},
		{"minted too far ahead", issued(1, now.Add(retention.NonRepeatable+time.Millisecond)), 1, failure.Invalid},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			s := NewState(machineShard, 1, retention)
			s.Commit(s.PlanSyncGrant(machineBudget, MaxTokens, 1))
			reply, _, err := s.PlanReserve(ReserveRequest{ID: tt.id, Budget: machineBudget, Amount: tt.amount, Call: 1}, now)
			wantKind(t, err, tt.kind)
			if err == nil && reply.Decision != Admitted {
				t.Errorf("reply %+v", reply)
			}
		})
	}
}

// Guards against an id with a mint time in the future that, once its record is
// dropped, makes the shard refuse ids issued after it.
func TestDroppedRecordKeepsLaterIDs(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := NewState(machineShard, 1, retention)
	admit := func(mint time.Time) Decision {
		reply, m, err := s.PlanReserve(ReserveRequest{ID: RequestID{Issued, machineShard, 1, mint.UnixMilli(), "n"}.String(), Repeatable: true}, now)
		if err != nil {
			t.Fatal(err)
		}
		s.Commit(m)
		return reply.Decision
	}
	ahead := now.Add(retention.Repeatable)
	if d := admit(ahead); d != Admitted {
		t.Fatalf("decision %d", d)
	}
	_, m, _ := s.PlanSettle(SettleRequest{ID: RequestID{Issued, machineShard, 1, ahead.UnixMilli(), "n"}.String(), Attempt: 1, End: EndComplete}, now)
	s.Commit(m)
	now = now.Add(retention.Repeatable + time.Millisecond)
	for _, m := range s.PlanExpire(now, now, 10) {
		s.Commit(m)
	}
	if _, records := s.Sizes(); records != 0 {
		t.Fatalf("%d records kept", records)
	}
	if d := admit(now); d != Admitted {
		t.Errorf("an id issued after the drop got decision %d", d)
	}
}

// Guards against a backup that skips a mutation, and against a return of rights
// that are in use.
func TestApplyAndReturnLimits(t *testing.T) {
	s := NewState(machineShard, 1, retention)
	wantKind(t, s.Apply(&Mutation{Index: 2, Op: OpBarrier}), failure.Conflict)
	s.Commit(s.PlanSyncGrant(machineBudget, 100, 1))
	_, m, _ := s.PlanReserve(ReserveRequest{ID: RequestID{Issued, machineShard, 1, 1, "n"}.String(), Budget: machineBudget, Amount: 60}, time.UnixMilli(2))
	s.Commit(m)
	s.Commit(s.PlanReturn(machineBudget, 10, 1))
	if r := s.Right(machineBudget); r.ReturnTo != 60 || r.Available() != 0 {
		t.Errorf("right %+v after a return to less than what is reserved", r)
	}
}

// Guards against dropping a record by an earlier end of the request, when a later
// attempt has ended since.
func TestChangedRecordIsKept(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := NewState(machineShard, 1, retention)
	id := RequestID{Issued, machineShard, 1, 1, "n"}.String()
	for attempt, end := range []End{EndNotRun, EndComplete} {
		_, m, _ := s.PlanReserve(ReserveRequest{ID: id, Budget: machineBudget, Repeatable: true, Call: uint64(attempt)}, now)
		s.Commit(m)
		_, m, _ = s.PlanSettle(SettleRequest{ID: id, Attempt: uint32(attempt + 1), End: end}, now)
		s.Commit(m)
		now = now.Add(retention.Repeatable / 2)
	}
	now = now.Add(time.Millisecond) // the first end is older than the retention, the second is not
	for _, m := range s.PlanExpire(now, now, 10) {
		s.Commit(m)
	}
	if _, ok := s.Lookup(id); !ok {
		t.Error("the answered request was dropped by the time of its first attempt")
	}
}

// Guards against records of internal ids that fill the memory for the whole
// retention of repeatable requests, and against ids of callers that a drop of
// internal records outlaws.
func TestInternalRecordsAreDroppedEarly(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := NewState(machineShard, 1, Retention{Repeatable: 10 * time.Minute, NonRepeatable: 24 * time.Hour})
	id := func(kind IDKind) string { return RequestID{kind, machineShard, 1, 900_000, "n"}.String() }
	reserve := func(kind IDKind) Decision {
		reply, m, err := s.PlanReserve(ReserveRequest{ID: id(kind), Repeatable: true, Call: uint64(now.UnixMilli())}, now)
		if err != nil {
			t.Fatal(err)
		}
		if m != nil {
			s.Commit(m)
		}
		return reply.Decision
	}
	end := func(kind IDKind) {
		_, m, _ := s.PlanSettle(SettleRequest{ID: id(kind), Attempt: 1, End: EndComplete}, now)
		s.Commit(m)
	}
	if d := reserve(Internal); d != Admitted {
		t.Fatalf("decision %d", d)
	}
	end(Internal)
	now = now.Add(internalRetention)
	for _, m := range s.PlanExpire(now, now, 10) {
		s.Commit(m)
	}
	if _, records := s.Sizes(); records != 0 {
		t.Errorf("%d records of internal ids are kept", records)
	}
	if d := reserve(Internal); d != OutcomeUnknown {
		t.Errorf("a dropped internal id got decision %d, want unknown", d)
	}
	if d := reserve(Issued); d != Admitted {
		t.Errorf("an issued id of the same age got decision %d, want admitted", d)
	}
}
