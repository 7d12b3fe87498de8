package ledger

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// TestMain fixes the seed of the property-based tests, so that every run checks
// the same cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "150")
	os.Exit(m.Run())
}

var (
	testShard     = ShardID{"ikeja", 0}
	otherShard    = ShardID{"yaba", 0}
	testBudget    = BudgetKey{"meals", "rounds"}
	testRetention = Retention{Repeatable: 10 * time.Second, NonRepeatable: time.Minute}
	startTime     = time.UnixMilli(1_000_000)
	clockSkews    = []time.Duration{-3 * time.Second, 0, 3 * time.Second}
)

// machine drives one shard and its backup, and checks them against a model of the
// store, the callers, the dispatchers and the bills.
type machine struct {
	now     time.Time     // wall clock of the owner
	elapsed time.Duration // monotonic clock of callers and dispatchers
	owner   *State
	backup  *State
	// queue holds the mutations and replies that the backup has not acknowledged.
	// The owner sends a reply only after its entry is acknowledged.
	queue        []pendingEntry
	formerOwners []formerOwner

	storeVersion uint64
	storeValue   []byte
	oldVersions  []storedVersion // for stale reads
	inFlight     []swapRequest   // writes that may still take effect

	ids                    []knownID
	lastCall               uint64
	nonces                 int
	histories              map[string]*history      // by issued id
	callStarts             map[uint64]time.Duration // start of each call at its dispatcher
	bills                  map[[2]uint64][]BillLine // segments in the store by epoch and sequence number
	topUps                 int
	callerKeysUnknownUntil time.Time // on the owner's clock; set when an epoch is lost
}

// pendingEntry is a mutation that waits for the acknowledgement of the backup.
type pendingEntry struct {
	data  []byte // encoded mutation; nil for a reply without one
	onAck func()
}

// formerOwner is an owner that does not know of its successor.
type formerOwner struct {
	state       *State
	servedAlone bool // without a backup; it continues to admit requests
}

// storedVersion is one version of the budget record in the store.
type storedVersion struct {
	version uint64
	value   []byte
}

// swapRequest is a compare-and-swap on the budget record.
type swapRequest struct {
	expect uint64
	value  []byte
}

// knownID is a request id that the test has used.
type knownID struct {
	text       string
	issued     bool
	repeatable bool
}

// history holds what callers and dispatchers observed of a request id.
type history struct {
	lastSent         [2]any        // dispatcher and call of the last attempt that was sent
	mayHaveRun       bool          // an attempt was sent and not settled as not run
	notRunReportedAt time.Duration // when the caller was last told "not run"; -1 if never
	neverAdmitReason string        // why the id must never be admitted again
	billDue          bool          // the request must have a bill line
}

func newMachine() *machine {
	m := &machine{now: startTime, histories: map[string]*history{},
		callStarts: map[uint64]time.Duration{}, bills: map[[2]uint64][]BillLine{}}
	m.owner = NewState(testShard, 0, testRetention)
	m.commit(m.owner.PlanEpoch(1, 0, m.now), nil)
	m.writeBudget(0, func(b *BudgetRecord) { _, _ = b.TopUp("first", 500) })
	return m
}

// commit applies a mutation at the owner and calls onAck once the backup holds it.
func (m *machine) commit(mutation *Mutation, onAck func()) {
	var data []byte
	if mutation != nil {
		m.owner.Commit(mutation)
		data, _ = cbor.Marshal(mutation)
	}
	if m.backup == nil {
		if onAck != nil {
			onAck()
		}
		return
	}
	m.queue = append(m.queue, pendingEntry{data, onAck})
}

// deliver applies up to n queued mutations at the backup, each of them a second
// time if twice is set.
func (m *machine) deliver(t *rapid.T, n int, twice bool) {
	for range min(n, len(m.queue)) {
		entry := m.queue[0]
		m.queue = m.queue[1:]
		for range 2 {
			if entry.data == nil {
				break
			}
			var mutation Mutation
			if err := cbor.Unmarshal(entry.data, &mutation); err != nil {
				t.Fatal(err)
			}
			if err := m.backup.Apply(&mutation); err != nil {
				t.Fatalf("backup refused a mutation in order: %v", err)
			}
			if !twice {
				break
			}
		}
		if entry.onAck != nil {
			entry.onAck()
		}
	}
}

// writeBudget changes the stored record at a version, as an operator or another
// shard does.
func (m *machine) writeBudget(expect uint64, change func(*BudgetRecord)) {
	b, _ := DecodeBudget(m.storeValue)
	change(b)
	data, _ := b.Encode()
	m.swap(swapRequest{expect, data})
}

// swap executes a compare-and-swap and reports whether it took effect.
func (m *machine) swap(s swapRequest) bool {
	if s.expect != m.storeVersion {
		return false
	}
	m.oldVersions = append(m.oldVersions, storedVersion{m.storeVersion, m.storeValue})
	m.storeVersion, m.storeValue = m.storeVersion+1, s.value
	return true
}

// accessBudget lets the owner of s read the budget record and change its grant.
// plan returns the grant to write, or a negative amount to write nothing. With
// waitForAck the write is sent only after the backup holds the state.
func (m *machine) accessBudget(t *rapid.T, s *State, commit func(*Mutation, func()), plan func(*BudgetRecord, Grant, uint64) Tokens, waitForAck bool) {
	version, value := m.storeVersion, m.storeValue
	if len(m.oldVersions) > 0 && rapid.IntRange(0, 4).Draw(t, "stale read") == 0 {
		old := rapid.SampledFrom(m.oldVersions).Draw(t, "old version")
		version, value = old.version, old.value
	}
	b, err := DecodeBudget(value)
	if err != nil {
		t.Fatal(err)
	}
	stranded := b.Strand(testShard, s.LostThrough())
	g := b.GrantOf(testShard)
	if g.Epoch > s.Epoch() {
		return
	}
	if !stranded {
		if mutation := s.PlanSyncGrant(testBudget, g.Granted, version); mutation != nil {
			commit(mutation, nil)
		}
	}
	if version < s.Right(testBudget).Version {
		return
	}
	to := plan(b, g, version)
	if to < 0 {
		return
	}
	err = b.SetGrant(Grant{Shard: testShard, Epoch: s.Epoch(), Granted: to, Charged: s.Right(testBudget).Charged})
	if err != nil {
		if !failure.Is(err, failure.BudgetExhausted) {
			t.Fatal(err)
		}
		return
	}
	data, _ := b.Encode()
	result := rapid.SampledFrom([]string{"applied", "answer lost", "late", "never"}).Draw(t, "fate")
	send := func() {
		switch result {
		case "late":
			m.inFlight = append(m.inFlight, swapRequest{version, data})
		case "applied", "answer lost":
			if m.swap(swapRequest{version, data}) && result == "applied" {
				if mutation := s.PlanSyncGrant(testBudget, to, m.storeVersion); mutation != nil {
					commit(mutation, nil)
				}
			}
		}
	}
	if waitForAck {
		commit(nil, send)
		return
	}
	send()
}

// requestGrant lets the owner raise its grant or complete a return.
func (m *machine) requestGrant(t *rapid.T) {
	m.accessBudget(t, m.owner, m.commit, m.planGrantIncrease(t, m.owner), true)
}

func (m *machine) planGrantIncrease(t *rapid.T, s *State) func(*BudgetRecord, Grant, uint64) Tokens {
	return func(b *BudgetRecord, g Grant, _ uint64) Tokens {
		if r := s.Right(testBudget); r.Returning {
			return r.ReturnTo
		}
		return g.Granted + Tokens(rapid.IntRange(1, 200).Draw(t, "ask"))
	}
}

// returnGrant lets the owner return a part of its grant.
func (m *machine) returnGrant(t *rapid.T) {
	m.accessBudget(t, m.owner, m.commit, func(_ *BudgetRecord, _ Grant, version uint64) Tokens {
		r := m.owner.Right(testBudget)
		if r.Returning {
			return r.ReturnTo
		}
		if r.Available() <= 0 {
			return -1
		}
		to := r.Granted - Tokens(rapid.IntRange(1, int(r.Available())).Draw(t, "amount"))
		mutation := m.owner.PlanReturn(testBudget, to, version)
		if mutation == nil {
			return -1
		}
		m.commit(mutation, nil)
		return to
	}, true)
}

// actAsFormerOwner lets a former owner request rights and, if it served alone,
// admit a request.
func (m *machine) actAsFormerOwner(t *rapid.T) {
	if len(m.formerOwners) == 0 {
		t.Skip("no former owner")
	}
	former := rapid.SampledFrom(m.formerOwners).Draw(t, "ghost")
	if former.state.Right(testBudget).Returning && !former.servedAlone {
		t.Skip("a lower grant is not written without the backup's acknowledgement")
	}
	commit := func(mutation *Mutation, onAck func()) {
		if mutation != nil {
			former.state.Commit(mutation)
		}
		if onAck != nil {
			onAck()
		}
	}
	m.accessBudget(t, former.state, commit, m.planGrantIncrease(t, former.state), false)
	if former.servedAlone {
		req := m.newRequest(t)
		req.ID = m.newID(former.state)
		if _, mutation, err := former.state.PlanReserve(req, m.now); err == nil && mutation != nil {
			former.state.Commit(mutation)
		}
	}
}

// completeWrite lets a write in flight take effect, or drops it.
func (m *machine) completeWrite(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("no write in flight")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "write")
	if rapid.Bool().Draw(t, "applied") {
		m.swap(m.inFlight[i])
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
}

func (m *machine) topUp(t *rapid.T) {
	m.topUps += rapid.IntRange(0, 1).Draw(t, "repeated command")
	m.writeBudget(m.storeVersion, func(b *BudgetRecord) { _, _ = b.TopUp(fmt.Sprint("c", m.topUps), 100) })
}

// changeOtherShardGrant changes the grant that another shard holds on the budget.
func (m *machine) changeOtherShardGrant(t *rapid.T) {
	m.writeBudget(m.storeVersion, func(b *BudgetRecord) {
		_ = b.SetGrant(Grant{Shard: otherShard, Epoch: 1, Granted: Tokens(rapid.IntRange(0, 300).Draw(t, "other"))})
	})
}

func (m *machine) reclaim(t *rapid.T) {
	b, _ := DecodeBudget(m.storeValue)
	if len(b.Stranded) == 0 || len(m.formerOwners) > 0 {
		t.Skip("nothing to reclaim, or an instance of the epoch is alive")
	}
	// Unreported charges of the lost epoch stay unbilled, which the operator
	// accepts. The invariants on the record must hold nevertheless.
	s := b.Stranded[0]
	_, _ = b.Reclaim(fmt.Sprint("r", m.topUps), s.Shard, s.Epoch, Tokens(rapid.IntRange(1, 50).Draw(t, "amount")))
	data, _ := b.Encode()
	m.swap(swapRequest{m.storeVersion, data})
}

// newID issues an id with a counter as its nonce, so that a run is reproducible.
func (m *machine) newID(s *State) string {
	m.nonces++
	return RequestID{Issued, testShard, s.Epoch(), m.now.UnixMilli(), fmt.Sprint("n", m.nonces)}.String()
}

func (m *machine) pickID(t *rapid.T) knownID {
	if len(m.ids) == 0 || rapid.IntRange(0, 3).Draw(t, "new id") == 0 {
		id := knownID{repeatable: rapid.Bool().Draw(t, "repeatable"), issued: rapid.IntRange(0, 4).Draw(t, "issued") > 0}
		if id.issued {
			id.text = m.newID(m.owner)
			m.histories[id.text] = &history{notRunReportedAt: -1}
		} else {
			id.text = NewCallerKeyID(testShard, "meals", fmt.Sprint(len(m.ids))).String()
		}
		m.ids = append(m.ids, id)
	}
	return m.ids[max(0, len(m.ids)-1-rapid.IntRange(0, 12).Draw(t, "which"))]
}

func (m *machine) newRequest(t *rapid.T) ReserveRequest {
	id := m.pickID(t)
	call := m.lastCall - min(m.lastCall, uint64(rapid.IntRange(0, 3).Draw(t, "earlier call")))
	if rapid.Bool().Draw(t, "new call") {
		m.lastCall++
		call, m.callStarts[m.lastCall] = m.lastCall, m.elapsed
	}
	return ReserveRequest{
		ID: id.text, Budget: testBudget, Service: "app", Fingerprint: []byte{1}, Repeatable: id.repeatable,
		Amount: Tokens(rapid.IntRange(0, 80).Draw(t, "reserve")), KeepAnswer: rapid.Bool().Draw(t, "keep"),
		Dispatcher: rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "dispatcher"), Call: call,
		LostDispatcher: rapid.SampledFrom([]string{"", "", "d1", "d2"}).Draw(t, "gone"),
		Refuse:         rapid.IntRange(0, 6).Draw(t, "refuse") == 0,
	}
}

func (m *machine) reserve(t *rapid.T) {
	req := m.newRequest(t)
	if rapid.IntRange(0, 9).Draw(t, "mismatch") == 0 {
		req.Fingerprint = []byte{2}
	}
	before, existed := m.owner.records[req.ID]
	reply, mutation, err := m.owner.PlanReserve(req, m.now)
	if err != nil {
		t.Fatal(err)
	}
	if existed && !slices.Equal(before.Fingerprint, req.Fingerprint) && (reply.Decision != Mismatch || mutation != nil) {
		t.Fatalf("another request under the id %s got %+v", req.ID, reply)
	}
	if parsed, _ := ParseRequestID(req.ID); parsed.Kind == CallerKey && !existed && m.now.Before(m.callerKeysUnknownUntil) && reply.Decision != OutcomeUnknown {
		t.Fatalf("caller key after a lost epoch got decision %d", reply.Decision)
	}
	decided := m.elapsed
	m.commit(mutation, func() { m.observeReply(t, req, reply, decided) })
}

// observeReply checks a reply of the owner against the history of the id.
func (m *machine) observeReply(t *rapid.T, req ReserveRequest, reply ReserveReply, decided time.Duration) {
	h := m.histories[req.ID]
	if h == nil {
		return
	}
	call := [2]any{req.Dispatcher, req.Call}
	switch reply.Decision {
	case Admitted:
		if h.neverAdmitReason != "" {
			t.Fatalf("id %s was admitted again although it %s", req.ID, h.neverAdmitReason)
		}
		if reply.AfterNotRun && decided-m.callStarts[req.Call] >= reply.SinceNotRun {
			return // the dispatcher must not send it
		}
		if m.callStarts[req.Call] < h.notRunReportedAt {
			t.Fatalf("id %s: call %d was admitted although it began before the caller was told that the request did not run", req.ID, req.Call)
		}
		if h.mayHaveRun && !req.Repeatable && h.lastSent != call {
			t.Fatalf("non-repeatable id %s was admitted to %v and to %v", req.ID, h.lastSent, call)
		}
		h.mayHaveRun, h.lastSent = true, call
	case Refused:
		h.notRunReportedAt = max(h.notRunReportedAt, decided)
		if h.mayHaveRun {
			t.Fatalf("id %s was refused as not run although an attempt may have run", req.ID)
		}
	}
}

func (m *machine) settle(t *rapid.T) {
	if len(m.ids) == 0 {
		t.Skip("no id")
	}
	id := m.pickID(t)
	req := SettleRequest{
		ID: id.text, Attempt: uint32(rapid.IntRange(0, 3).Draw(t, "attempt")), End: End(rapid.IntRange(1, 4).Draw(t, "end")),
		Charge: Tokens(rapid.IntRange(-5, 120).Draw(t, "charge")),
		Answer: &StoredAnswer{Status: 200}, Dispatcher: "d1", Call: m.lastCall,
	}
	rec := m.owner.records[id.text]
	if rec != nil && rapid.IntRange(0, 2).Draw(t, "current") > 0 {
		req.Attempt, req.Dispatcher, req.Call = rec.Attempt, rec.Dispatcher, rec.Call
	}
	// A dispatcher that may have sent a request never settles it as not run.
	if req.End == EndNotRun && rec != nil && rec.State == StateUnknown {
		req.End = EndUnknown
	}
	reply, mutation, err := m.owner.PlanSettle(req, m.now)
	if (err != nil) != (rec == nil) {
		t.Fatalf("settle of %s: %v, record %v", id.text, err, rec != nil)
	}
	if rec != nil && (reply.Charged < 0 || reply.Charged > rec.Reserved+rec.Charged) {
		t.Fatalf("charged %d of a reservation of %d", reply.Charged, rec.Reserved+rec.Charged)
	}
	if mutation != nil && req.Attempt != 0 && req.Attempt != rec.Attempt {
		t.Fatalf("a report of attempt %d changed attempt %d", req.Attempt, rec.Attempt)
	}
	decided := m.elapsed
	m.commit(mutation, func() {
		if h := m.histories[id.text]; h != nil && mutation != nil {
			if mutation.End.State == StateNotRun {
				h.mayHaveRun, h.notRunReportedAt = false, decided
			}
			h.billDue = mutation.End.State == StateAnswered
		}
	})
}

func (m *machine) expire(t *rapid.T) {
	d := time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second
	m.now, m.elapsed = m.now.Add(d), m.elapsed+d
	before := maps.Clone(m.owner.records)
	for _, mutation := range m.owner.PlanExpire(m.now, m.now.Add(-40*time.Second), rapid.IntRange(1, 8).Draw(t, "limit")) {
		m.commit(mutation, nil)
	}
	for id, rec := range before {
		if _, kept := m.owner.records[id]; kept || m.histories[id] == nil {
			continue
		}
		if rec.State == StateRunning {
			t.Fatalf("running request %s was dropped", id)
		}
		billDue := rec.Charged > 0 || rec.State == StateAnswered
		m.commit(nil, func() { m.histories[id].neverAdmitReason, m.histories[id].billDue = "was dropped", billDue })
	}
}

func (m *machine) seal(t *rapid.T) {
	if mutation := m.owner.PlanSeal(rapid.IntRange(1, 3).Draw(t, "lines")); mutation != nil {
		m.commit(mutation, nil)
	}
	if sealed := m.owner.Sealed(); len(sealed) > 0 && rapid.Bool().Draw(t, "confirmed") {
		seg := rapid.SampledFrom(sealed).Draw(t, "segment")
		m.commit(nil, func() {
			key := [2]uint64{seg.Epoch, seg.Seq}
			if earlier, ok := m.bills[key]; ok && !slices.Equal(earlier, seg.Lines) {
				t.Fatalf("segment %v was written as %v, now it is %v", key, earlier, seg.Lines)
			}
			m.bills[key] = seg.Lines
			m.commit(m.owner.PlanDropSegment(seg), nil)
		})
	}
}

// takeover makes the backup the owner. Mutations that it has not acknowledged are
// dropped with their replies, which the old owner never sent.
func (m *machine) takeover(t *rapid.T) {
	if m.backup == nil {
		t.Skip("no backup")
	}
	m.addFormerOwner(formerOwner{m.owner, false})
	m.owner, m.backup, m.queue = m.backup, nil, nil
	m.setSkewedClock(t)
	m.commit(m.owner.PlanEpoch(m.owner.Epoch()+1, m.owner.LostThrough(), m.now), nil)
}

func (m *machine) addFormerOwner(former formerOwner) {
	m.formerOwners = append(m.formerOwners, former)
}

func (m *machine) setSkewedClock(t *rapid.T) {
	m.now = startTime.Add(m.elapsed + rapid.SampledFrom(clockSkews).Draw(t, "skew"))
}

// loseEpoch starts the next epoch with an empty state.
func (m *machine) loseEpoch(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "lose") > 0 {
		t.Skip("rare")
	}
	epoch := m.owner.Epoch()
	m.addFormerOwner(formerOwner{m.owner, m.backup == nil})
	m.owner, m.backup, m.queue = NewState(testShard, epoch, testRetention), nil, nil
	m.setSkewedClock(t)
	m.commit(m.owner.PlanEpoch(epoch+1, epoch, m.now), nil)
	m.callerKeysUnknownUntil = m.now.Add(testRetention.Repeatable)
	for _, h := range m.histories {
		if h.neverAdmitReason == "" {
			h.neverAdmitReason = "belongs to a lost epoch"
		}
		h.billDue = false
	}
}

// joinBackup installs a snapshot at a new backup and starts an epoch.
func (m *machine) joinBackup(t *rapid.T) {
	m.deliver(t, len(m.queue), false)
	data, err := m.owner.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if m.backup, err = Restore(data, testRetention); err != nil {
		t.Fatal(err)
	}
	if a, b := canonical(m.owner), canonical(m.backup); a != b {
		t.Fatalf("snapshot differs:\n%s\n%s", a, b)
	}
	m.commit(m.owner.PlanEpoch(m.owner.Epoch()+1, m.owner.LostThrough(), m.now), nil)
}

// check verifies the invariants after every step.
func (m *machine) check(t *rapid.T) {
	r := m.owner.Right(testBudget)
	if used := r.Charged + r.Reserved; used > r.Granted || r.Available() < 0 {
		t.Fatalf("charged and reserved %d of a grant of %+v", used, r)
	}
	m.checkRecord(t, r, m.storeValue)
	for _, s := range m.inFlight {
		if s.expect == m.storeVersion {
			m.checkRecord(t, r, s.value)
		}
	}
	var charged, reserved Tokens
	for _, rec := range m.owner.records {
		charged, reserved = charged+rec.Charged, reserved+rec.Reserved
	}
	if reserved != r.Reserved || charged > r.Charged {
		t.Fatalf("records reserve %d and charge %d, the right says %+v", reserved, charged, r)
	}
	m.checkBills(t)
	if m.backup != nil && len(m.queue) == 0 {
		if a, b := canonical(m.owner), canonical(m.backup); a != b {
			t.Fatalf("backup differs from owner:\n%s\n%s", a, b)
		}
	}
}

// checkRecord checks the use of the shard against a budget record that the store
// holds or that a write in flight may store.
func (m *machine) checkRecord(t *rapid.T, r Right, value []byte) {
	b, err := DecodeBudget(value)
	if err != nil {
		t.Fatal(err)
	}
	if b.Unassigned() < 0 {
		t.Fatalf("rights exceed what was paid by %d", -b.Unassigned())
	}
	if used := r.Charged + r.Reserved; used > b.GrantOf(testShard).Granted {
		t.Fatalf("charged and reserved %d, the record grants %+v", used, b.GrantOf(testShard))
	}
}

func (m *machine) checkBills(t *rapid.T) {
	segments := maps.Clone(m.bills)
	for _, seg := range m.owner.Sealed() {
		segments[[2]uint64{seg.Epoch, seg.Seq}] = seg.Lines
	}
	lines := map[string]int{}
	for _, segment := range segments {
		for _, line := range segment {
			lines[line.ID]++
		}
	}
	for _, line := range m.owner.unsealed {
		lines[line.ID]++
	}
	for id, h := range m.histories {
		if lines[id] > 1 {
			t.Fatalf("id %s has %d bill lines", id, lines[id])
		}
		if h.billDue && lines[id] == 0 {
			t.Fatalf("id %s ran and has no bill line", id)
		}
	}
}

// canonical returns a text form of s that is equal for equal states.
func canonical(s *State) string {
	records := slices.SortedFunc(maps.Values(s.records), func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	text := fmt.Sprintf("epoch %d %d lost %d %d index %d purged %v next %d\nended %v unsealed %v sealed %v\n",
		s.epoch, s.epochStartMillis, s.lostThrough, s.lostAtMillis, s.index, s.purgedThrough, s.nextSegmentSeq, s.expiryQueues, s.unsealed, s.sealed)
	for _, r := range records {
		v := *r
		v.Answer = nil
		text += fmt.Sprintf("%+v %+v\n", v, r.Answer)
	}
	for b, r := range s.rights {
		text += fmt.Sprintf("%s %+v\n", b, *r)
	}
	return text
}

// Guards against overspending, duplicate bill lines, second runs and a backup that
// diverges, in random sequences of reserve, settle, expiry, grant changes,
// takeovers and lost epochs.
func TestLedgerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "reserve": m.reserve, "reserve again": m.reserve, "settle": m.settle, "settle again": m.settle,
			"ask": m.requestGrant, "return": m.returnGrant, "ghost": m.actAsFormerOwner, "land": m.completeWrite, "top up": m.topUp,
			"another": m.changeOtherShardGrant, "reclaim": m.reclaim, "expire": m.expire, "seal": m.seal,
			"deliver": func(t *rapid.T) {
				m.deliver(t, rapid.IntRange(1, 20).Draw(t, "n"), rapid.Bool().Draw(t, "twice"))
			},
			"takeover": m.takeover, "lose": m.loseEpoch, "join": m.joinBackup,
		})
	})
}
