package shard

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// sealBatch bounds the lines of a segment: 1,000 lines of about 150 bytes stay
// well below the 1 MB limit of a stored value.
const sealBatch = 1000

// billSegment is the stored form of a batch of bill lines.
type billSegment struct {
	Format int               `cbor:"1,keyasint"`
	Lines  []ledger.BillLine `cbor:"2,keyasint"`
}

// BillKey returns the store key of a segment of bill lines.
func BillKey(id ledger.ShardID, epoch, seq uint64) string {
	return fmt.Sprintf("bills/%s/%d/%d/%d", id.Domain, id.Shard, epoch, seq)
}

// DecodeBills reads a stored segment.
func DecodeBills(data []byte) ([]ledger.BillLine, error) {
	var s billSegment
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, failure.New(failure.Format, "restore the record from the platform's backup", "bill segment cannot be decoded: %v", err)
	}
	if s.Format != ledger.FormatVersion {
		return nil, failure.New(failure.Format, "read it with the release that wrote it", "bill segment has format %d", s.Format)
	}
	return s.Lines, nil
}

// seal puts bill lines into segments and writes those that the store has not
// confirmed. The backup holds the composition of a segment before it is written,
// so a later owner writes the same lines under the same key.
func (r *replica) seal() {
	if r.sealing {
		return
	}
	r.commit(r.state.PlanSeal(sealBatch))
	segments := r.state.Sealed()
	if len(segments) == 0 {
		return
	}
	r.sealing = true
	r.whenHeld(func(err error) {
		if err != nil {
			r.sealing = false
			return
		}
		r.writeSegments(segments)
	})
}

func (r *replica) writeSegments(segments []ledger.Segment) {
	m, id := r.m, r.id()
	m.background(m.opts.Timing.StoreTimeout, func(ctx context.Context) {
		var written []ledger.Segment
		for _, seg := range segments {
			if err := writeSegment(ctx, m, id, seg); err != nil {
				break
			}
			written = append(written, seg)
		}
		m.post(func() { r.segmentsWritten(written) })
	})
}

func writeSegment(ctx context.Context, m *Manager, id ledger.ShardID, seg ledger.Segment) error {
	data, err := cbor.Marshal(billSegment{ledger.FormatVersion, seg.Lines})
	if err != nil {
		return err
	}
	_, err = m.opts.Store.CompareAndSwap(ctx, BillKey(id, seg.Epoch, seg.Seq), 0, data)
	if failure.Is(err, failure.Conflict) {
		return nil // an earlier write of the same lines took effect
	}
	return err
}

func (r *replica) segmentsWritten(written []ledger.Segment) {
	r.sealing = false
	if r.role != roleOwner {
		return
	}
	for _, seg := range written {
		r.m.metrics.billLines.Add(float64(len(seg.Lines)))
		r.commit(r.state.PlanDropSegment(seg))
	}
}
