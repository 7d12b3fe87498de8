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

// TestMain fixes the seed of the random tests, so that each run gives the same
// verdict. The flag -rapid.seed overrides it.
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
	machineShard  = ShardID{"ikeja", 0}
	otherShard    = ShardID{"yaba", 0}
	machineBudget = BudgetKey{"meals", "rounds"}
	retention     = Retention{Repeatable: 10 * time.Second, NonRepeatable: time.Minute}
	start         = time.UnixMilli(1_000_000)
	skews         = []time.Duration{-3 * time.Second, 0, 3 * time.Second}
)

// machine drives one shard and its backup against a model of the store and of
// what callers, dispatchers and bills may observe.
type machine struct {
	now    time.Time     // of the owner
	real   time.Duration // a clock that never steps, on which the outside acts
	owner  *State
	backup *State
	// queue holds what the backup has not acknowledged. A reply leaves the owner
	// only when its entry is acknowledged.
	queue []queued
	// ghosts are former owners that do not know of their successor.
	ghosts []ghost

	version uint64
	value   []byte
	old     []stored // earlier versions, for stale reads
	flying  []swap   // writes that may still take effect

	ids    []modelID
	calls  uint64
	nonces int
	seen   map[string]*history      // by issued id
	begun  map[uint64]time.Duration // start of each call at its dispatcher
	bills  map[[2]uint64][]BillLine // segments in the store by epoch and number
	topUps int
	until  time.Time // own keys are unknown until then, on the owner's clock
}

type queued struct {
	data []byte
	then func()
}

// ghost is a former owner; one that served alone goes on admitting requests.
type ghost struct {
	state *State
	alone bool
}

type stored struct {
	version uint64
	value   []byte
}

type swap struct {
	expect uint64
	value  []byte
}

type modelID struct {
	text       string
	issued     bool
	repeatable bool
}

// history is what the outside saw of an id.
type history struct {
	sent    [2]any        // dispatcher and call of the last attempt that was sent
	open    bool          // an attempt was sent and not reported as not run
	refused time.Duration // of the last record as "not run" that was told; -1 for never
	gone    string        // why the id must never be admitted again
	owed    bool          // a bill line must exist or follow
}

func newMachine() *machine {
	m := &machine{now: start, seen: map[string]*history{},
		begun: map[uint64]time.Duration{}, bills: map[[2]uint64][]BillLine{}}
	m.owner = NewState(machineShard, 0, retention)
	m.commit(m.owner.PlanEpoch(1, 0, m.now), nil)
	m.write(0, func(b *BudgetRecord) { _, _ = b.TopUp("first", 500) })
	return m
}

// commit applies a mutation at the owner and runs then once the backup holds it.
func (m *machine) commit(mutation *Mutation, then func()) {
	var data []byte
	if mutation != nil {
		m.owner.Commit(mutation)
		data, _ = cbor.Marshal(mutation)
	}
	if m.backup == nil {
		if then != nil {
			then()
		}
		return
	}
	m.queue = append(m.queue, queued{data, then})
}

func (m *machine) deliver(t *rapid.T, n int, twice bool) {
	for range min(n, len(m.queue)) {
		q := m.queue[0]
		m.queue = m.queue[1:]
		for range 2 {
			if q.data == nil {
				break
			}
			var mutation Mutation
			if err := cbor.Unmarshal(q.data, &mutation); err != nil {
				t.Fatal(err)
			}
			if err := m.backup.Apply(&mutation); err != nil {
				t.Fatalf("backup refused a mutation in order: %v", err)
			}
			if !twice {
				break
			}
		}
		if q.then != nil {
			q.then()
		}
	}
}

// write changes the stored record at a version, as an operator or another shard.
func (m *machine) write(expect uint64, change func(*BudgetRecord)) {
	b, _ := DecodeBudget(m.value)
	change(b)
	data, _ := b.Encode()
	m.swap(swap{expect, data})
}

func (m *machine) swap(s swap) bool {
	if s.expect != m.version {
		return false
	}
	m.old = append(m.old, stored{m.version, m.value})
	m.version, m.value = m.version+1, s.value
	return true
}

// access makes the given state read the budget record and change its grant, as
// the owner of a shard does. plan returns the grant to write, or a negative one.
func (m *machine) access(t *rapid.T, s *State, commit func(*Mutation, func()), plan func(*BudgetRecord, Grant, uint64) Tokens, held bool) {
	version, value := m.version, m.value
	if len(m.old) > 0 && rapid.IntRange(0, 4).Draw(t, "stale read") == 0 {
		o := rapid.SampledFrom(m.old).Draw(t, "old version")
		version, value = o.version, o.value
	}
	b, err := DecodeBudget(value)
	if err != nil {
		t.Fatal(err)
	}
	stranded := b.Strand(machineShard, s.LostThrough())
	g := b.GrantOf(machineShard)
	if g.Epoch > s.Epoch() {
		return
	}
	if !stranded {
		if mutation := s.PlanSyncGrant(machineBudget, g.Granted, version); mutation != nil {
			commit(mutation, nil)
		}
	}
	if version < s.Right(machineBudget).Version {
		return
	}
	to := plan(b, g, version)
	if to < 0 {
		return
	}
	err = b.SetGrant(Grant{Shard: machineShard, Epoch: s.Epoch(), Granted: to, Charged: s.Right(machineBudget).Charged})
	if err != nil {
		if !failure.Is(err, failure.BudgetExhausted) {
			t.Fatal(err)
		}
		return
	}
	data, _ := b.Encode()
	fate := rapid.SampledFrom([]string{"applied", "answer lost", "late", "never"}).Draw(t, "fate")
	send := func() {
		switch fate {
		case "late":
			m.flying = append(m.flying, swap{version, data})
		case "applied", "answer lost":
			if m.swap(swap{version, data}) && fate == "applied" {
				if mutation := s.PlanSyncGrant(machineBudget, to, m.version); mutation != nil {
					commit(mutation, nil)
				}
			}
		}
	}
	if held {
		commit(nil, send)
		return
	}
	send()
}

func (m *machine) ask(t *rapid.T) {
	m.access(t, m.owner, m.commit, m.planAsk(t, m.owner), true)
}

func (m *machine) planAsk(t *rapid.T, s *State) func(*BudgetRecord, Grant, uint64) Tokens {
	return func(b *BudgetRecord, g Grant, _ uint64) Tokens {
		if r := s.Right(machineBudget); r.Returning {
			return r.ReturnTo
		}
		return g.Granted + Tokens(rapid.IntRange(1, 200).Draw(t, "ask"))
	}
}

func (m *machine) giveBack(t *rapid.T) {
	m.access(t, m.owner, m.commit, func(_ *BudgetRecord, _ Grant, version uint64) Tokens {
		r := m.owner.Right(machineBudget)
		if r.Returning {
			return r.ReturnTo
		}
		if r.Available() <= 0 {
			return -1
		}
		to := r.Granted - Tokens(rapid.IntRange(1, int(r.Available())).Draw(t, "amount"))
		mutation := m.owner.PlanReturn(machineBudget, to, version)
		if mutation == nil {
			return -1
		}
		m.commit(mutation, nil)
		return to
	}, true)
}

// ghostActs lets a former owner ask for rights and, if it served alone, admit.
func (m *machine) ghostActs(t *rapid.T) {
	if len(m.ghosts) == 0 {
		t.Skip("no former owner")
	}
	g := rapid.SampledFrom(m.ghosts).Draw(t, "ghost")
	if g.state.Right(machineBudget).Returning && !g.alone {
		t.Skip("a lower grant is not written without the backup's acknowledgement")
	}
	commit := func(mutation *Mutation, then func()) {
		if mutation != nil {
			g.state.Commit(mutation)
		}
		if then != nil {
			then()
		}
	}
	m.access(t, g.state, commit, m.planAsk(t, g.state), false)
	if g.alone {
		req := m.request(t)
		req.ID = m.newID(g.state)
		if _, mutation, err := g.state.PlanReserve(req, m.now); err == nil && mutation != nil {
			g.state.Commit(mutation)
		}
	}
}

// land lets writes in flight take effect, or drops them.
func (m *machine) land(t *rapid.T) {
	if len(m.flying) == 0 {
		t.Skip("no write in flight")
	}
	i := rapid.IntRange(0, len(m.flying)-1).Draw(t, "write")
	if rapid.Bool().Draw(t, "applied") {
		m.swap(m.flying[i])
	}
	m.flying = slices.Delete(m.flying, i, i+1)
}

func (m *machine) topUp(t *rapid.T) {
	m.topUps += rapid.IntRange(0, 1).Draw(t, "repeated command")
	m.write(m.version, func(b *BudgetRecord) { _, _ = b.TopUp(fmt.Sprint("c", m.topUps), 100) })
}

// another shard draws on the same budget.
func (m *machine) another(t *rapid.T) {
	m.write(m.version, func(b *BudgetRecord) {
		_ = b.SetGrant(Grant{Shard: otherShard, Epoch: 1, Granted: Tokens(rapid.IntRange(0, 300).Draw(t, "other"))})
	})
}

func (m *machine) reclaim(t *rapid.T) {
	b, _ := DecodeBudget(m.value)
	if len(b.Stranded) == 0 || len(m.ghosts) > 0 {
		t.Skip("nothing to reclaim, or an instance of the epoch is alive")
	}
	// The charges of a lost epoch that no one knows are forgiven here, which the
	// operator accepts; the invariants on the record must hold all the same.
	s := b.Stranded[0]
	_, _ = b.Reclaim(fmt.Sprint("r", m.topUps), s.Shard, s.Epoch, Tokens(rapid.IntRange(1, 50).Draw(t, "amount")))
	data, _ := b.Encode()
	m.swap(swap{m.version, data})
}

// newID issues an id with a number as its nonce, so that a run can be repeated.
func (m *machine) newID(s *State) string {
	m.nonces++
	return RequestID{Issued, machineShard, s.Epoch(), m.now.UnixMilli(), fmt.Sprint("n", m.nonces)}.String()
}

func (m *machine) id(t *rapid.T) modelID {
	if len(m.ids) == 0 || rapid.IntRange(0, 3).Draw(t, "new id") == 0 {
		id := modelID{repeatable: rapid.Bool().Draw(t, "repeatable"), issued: rapid.IntRange(0, 4).Draw(t, "issued") > 0}
		if id.issued {
			id.text = m.newID(m.owner)
			m.seen[id.text] = &history{refused: -1}
		} else {
			id.text = NewCallerKeyID(machineShard, "meals", fmt.Sprint(len(m.ids))).String()
		}
		m.ids = append(m.ids, id)
	}
	return m.ids[max(0, len(m.ids)-1-rapid.IntRange(0, 12).Draw(t, "which"))]
}

func (m *machine) request(t *rapid.T) ReserveRequest {
	id := m.id(t)
	call := m.calls - min(m.calls, uint64(rapid.IntRange(0, 3).Draw(t, "earlier call")))
	if rapid.Bool().Draw(t, "new call") {
		m.calls++
		call, m.begun[m.calls] = m.calls, m.real
	}
	return ReserveRequest{
		ID: id.text, Budget: machineBudget, Service: "app", Fingerprint: []byte{1}, Repeatable: id.repeatable,
		Amount: Tokens(rapid.IntRange(0, 80).Draw(t, "reserve")), KeepAnswer: rapid.Bool().Draw(t, "keep"),
		Dispatcher: rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "dispatcher"), Call: call,
		DispatcherGone: rapid.SampledFrom([]string{"", "", "d1", "d2"}).Draw(t, "gone"),
		Refuse:         rapid.IntRange(0, 6).Draw(t, "refuse") == 0,
	}
}

func (m *machine) reserve(t *rapid.T) {
	req := m.request(t)
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
	if parsed, _ := ParseRequestID(req.ID); parsed.Kind == CallerKey && !existed && m.now.Before(m.until) && reply.Decision != OutcomeUnknown {
		t.Fatalf("own key after a lost epoch got decision %d", reply.Decision)
	}
	decided := m.real
	m.commit(mutation, func() { m.observe(t, req, reply, decided) })
}

// observe checks a reply of the owner against what was seen of the id before.
func (m *machine) observe(t *rapid.T, req ReserveRequest, reply ReserveReply, decided time.Duration) {
	h := m.seen[req.ID]
	if h == nil {
		return
	}
	call := [2]any{req.Dispatcher, req.Call}
	switch reply.Decision {
	case Admitted:
		if h.gone != "" {
			t.Fatalf("id %s was admitted again although it %s", req.ID, h.gone)
		}
		if reply.AfterNotRun && decided-m.begun[req.Call] >= reply.SinceNotRun {
			return // the dispatcher may not send it
		}
		if m.begun[req.Call] < h.refused {
			t.Fatalf("id %s: call %d was let through although it began before the caller was told that it did not run", req.ID, req.Call)
		}
		if h.open && !req.Repeatable && h.sent != call {
			t.Fatalf("non-repeatable id %s was admitted to %v and to %v", req.ID, h.sent, call)
		}
		h.open, h.sent = true, call
	case Refused:
		h.refused = max(h.refused, decided)
		if h.open {
			t.Fatalf("id %s was refused as not run while an attempt is open", req.ID)
		}
	}
}

func (m *machine) settle(t *rapid.T) {
	if len(m.ids) == 0 {
		t.Skip("no id")
	}
	id := m.id(t)
	req := SettleRequest{
		ID: id.text, Attempt: uint32(rapid.IntRange(0, 3).Draw(t, "attempt")), End: End(rapid.IntRange(1, 4).Draw(t, "end")),
		Charge: Tokens(rapid.IntRange(-5, 120).Draw(t, "charge")),
		Answer: &StoredAnswer{Status: 200}, Dispatcher: "d1", Call: m.calls,
	}
	rec := m.owner.records[id.text]
	if rec != nil && rapid.IntRange(0, 2).Draw(t, "current") > 0 {
		req.Attempt, req.Dispatcher, req.Call = rec.Attempt, rec.Dispatcher, rec.Call
	}
	// A dispatcher that may have sent a request never reports it as not run.
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
	decided := m.real
	m.commit(mutation, func() {
		if h := m.seen[id.text]; h != nil && mutation != nil {
			if mutation.End.State == StateNotRun {
				h.open, h.refused = false, decided
			}
			h.owed = mutation.End.State == StateAnswered
		}
	})
}

func (m *machine) expire(t *rapid.T) {
	d := time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second
	m.now, m.real = m.now.Add(d), m.real+d
	before := maps.Clone(m.owner.records)
	for _, mutation := range m.owner.PlanExpire(m.now, m.now.Add(-40*time.Second), rapid.IntRange(1, 8).Draw(t, "limit")) {
		m.commit(mutation, nil)
	}
	for id, rec := range before {
		if _, kept := m.owner.records[id]; kept || m.seen[id] == nil {
			continue
		}
		if rec.State == StateRunning {
			t.Fatalf("running request %s was dropped", id)
		}
		owed := rec.Charged > 0 || rec.State == StateAnswered
		m.commit(nil, func() { m.seen[id].gone, m.seen[id].owed = "was dropped", owed })
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

// takeover makes the backup the owner; what it had not acknowledged never left
// the old owner.
func (m *machine) takeover(t *rapid.T) {
	if m.backup == nil {
		t.Skip("no backup")
	}
	m.addGhost(ghost{m.owner, false})
	m.owner, m.backup, m.queue = m.backup, nil, nil
	m.skew(t)
	m.commit(m.owner.PlanEpoch(m.owner.Epoch()+1, m.owner.LostThrough(), m.now), nil)
}

func (m *machine) addGhost(g ghost) {
	m.ghosts = append(m.ghosts, g)
}

func (m *machine) skew(t *rapid.T) {
	m.now = start.Add(m.real + rapid.SampledFrom(skews).Draw(t, "skew"))
}

// lose starts the next epoch without the state of the current one.
func (m *machine) lose(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "lose") > 0 {
		t.Skip("rare")
	}
	epoch := m.owner.Epoch()
	m.addGhost(ghost{m.owner, m.backup == nil})
	m.owner, m.backup, m.queue = NewState(machineShard, epoch, retention), nil, nil
	m.skew(t)
	m.commit(m.owner.PlanEpoch(epoch+1, epoch, m.now), nil)
	m.until = m.now.Add(retention.Repeatable)
	for _, h := range m.seen {
		if h.gone == "" {
			h.gone = "belongs to a lost epoch"
		}
		h.owed = false
	}
}

// join installs a snapshot at a new backup and starts an epoch with it.
func (m *machine) join(t *rapid.T) {
	m.deliver(t, len(m.queue), false)
	data, err := m.owner.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if m.backup, err = Restore(data, retention); err != nil {
		t.Fatal(err)
	}
	if a, b := canonical(m.owner), canonical(m.backup); a != b {
		t.Fatalf("snapshot differs:\n%s\n%s", a, b)
	}
	m.commit(m.owner.PlanEpoch(m.owner.Epoch()+1, m.owner.LostThrough(), m.now), nil)
}

// check verifies the invariants after each step.
func (m *machine) check(t *rapid.T) {
	r := m.owner.Right(machineBudget)
	if used := r.Charged + r.Reserved; used > r.Granted || r.Available() < 0 {
		t.Fatalf("charged and reserved %d of a grant of %+v", used, r)
	}
	m.checkStored(t, r, m.value)
	for _, s := range m.flying {
		if s.expect == m.version {
			m.checkStored(t, r, s.value)
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

// checkStored compares the use of all shards with a record that the store holds
// or may come to hold.
func (m *machine) checkStored(t *rapid.T, r Right, value []byte) {
	b, err := DecodeBudget(value)
	if err != nil {
		t.Fatal(err)
	}
	if b.Unassigned() < 0 {
		t.Fatalf("rights exceed what was paid by %d", -b.Unassigned())
	}
	if used := r.Charged + r.Reserved; used > b.GrantOf(machineShard).Granted {
		t.Fatalf("charged and reserved %d, the record grants %+v", used, b.GrantOf(machineShard))
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
	for id, h := range m.seen {
		if lines[id] > 1 {
			t.Fatalf("id %s has %d bill lines", id, lines[id])
		}
		if h.owed && lines[id] == 0 {
			t.Fatalf("id %s ran and has no bill line", id)
		}
	}
}

// canonical returns a text that is equal for equal states.
func canonical(s *State) string {
	records := slices.SortedFunc(maps.Values(s.records), func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	text := fmt.Sprintf("epoch %d %d lost %d %d index %d purged %v next %d\nended %v unsealed %v sealed %v\n",
		s.epoch, s.epochAt, s.lostThrough, s.lostAt, s.index, s.purged, s.nextSeal, s.ended, s.unsealed, s.sealed)
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

// Guards against overspending, double bills, second runs and a backup that
// diverges, for any order of the events that the owner of a shard meets.
func TestLedgerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "reserve": m.reserve, "reserve again": m.reserve, "settle": m.settle, "settle again": m.settle,
			"ask": m.ask, "return": m.giveBack, "ghost": m.ghostActs, "land": m.land, "top up": m.topUp,
			"another": m.another, "reclaim": m.reclaim, "expire": m.expire, "seal": m.seal,
			"deliver": func(t *rapid.T) {
				m.deliver(t, rapid.IntRange(1, 20).Draw(t, "n"), rapid.Bool().Draw(t, "twice"))
			},
			"takeover": m.takeover, "lose": m.lose, "join": m.join,
		})
	})
}
