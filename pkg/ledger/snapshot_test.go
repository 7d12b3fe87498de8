package ledger

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a busy shard that no other instance can take over: its snapshot
// has more records than the decoder accepts by default.
func TestRestoreManyRecords(t *testing.T) {
	const records = 140_000
	s := NewState(ShardID{Domain: "ikeja"}, 1, Retention{Repeatable: time.Minute, NonRepeatable: time.Hour})
	for n := range records {
		s.Commit(&Mutation{Op: OpRecord, Record: &Record{ID: fmt.Sprint(n), State: StateNotRun}})
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data, s.retention)
	if err != nil {
		t.Fatal(err)
	}
	if _, got := restored.Sizes(); got != records {
		t.Errorf("%d records after a restore, want %d", got, records)
	}
}
