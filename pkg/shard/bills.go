package shard

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// maxSegmentLines is the maximum number of bill lines in a segment: 1,000 lines of
// about 150 bytes are well below the 1 MB limit of a stored value.
const maxSegmentLines = 1000

// billSegment is the stored form of a segment of bill lines.
type billSegment struct {
	Format int               `cbor:"1,keyasint"`
	Lines  []ledger.BillLine `cbor:"2,keyasint"`
}

// BillKey returns the store key of a segment of bill lines.
func BillKey(id ledger.ShardID, epoch, seq uint64) string {
	return fmt.Sprintf("bills/%s/%d/%d/%d", id.Domain, id.Shard, epoch, seq)
}

// DecodeBills decodes a stored segment. It fails with failure.Format if data cannot be
// decoded or has another format version.
func DecodeBills(data []byte) ([]ledger.BillLine, error) {
	var s billSegment
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, failure.New(failure.Format, "restore the record from the platform's backup", "bill segment cannot be decoded: %v", err)
	}
	if s.Format != ledger.FormatVersion {
		return nil, failure.New(failure.Format, "read it with the release that wrote it", "bill segment has format %d, this release reads format %d", s.Format, ledger.FormatVersion)
	}
	return s.Lines, nil
}

// seal groups bill lines into segments and writes the segments that the store has not
// confirmed yet. A segment is replicated to the backup before it is written, so a later
// owner writes the same lines under the same key.
func (r *replica) seal() {
	if r.sealInFlight {
		return
	}
	r.commit(r.state.PlanSeal(maxSegmentLines))
	segments := r.state.Sealed()
	if len(segments) == 0 {
		return
	}
	r.sealInFlight = true
	r.whenReplicated(func(err error) {
		if err != nil {
			r.sealInFlight = false
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
		m.post(func() { r.confirmSegments(written) })
	})
}

func writeSegment(ctx context.Context, m *Manager, id ledger.ShardID, seg ledger.Segment) error {
	data, err := cbor.Marshal(billSegment{ledger.FormatVersion, seg.Lines})
	if err != nil {
		return err
	}
	_, err = m.opts.Store.CompareAndSwap(ctx, BillKey(id, seg.Epoch, seg.Seq), 0, data)
	if failure.Is(err, failure.Conflict) {
		return nil // an earlier write of the same segment took effect
	}
	return err
}

// confirmSegments records that the store has confirmed the segments.
func (r *replica) confirmSegments(written []ledger.Segment) {
	r.sealInFlight = false
	if r.role != roleOwner {
		return
	}
	for _, seg := range written {
		r.m.metrics.billLines.Add(float64(len(seg.Lines)))
		r.commit(r.state.PlanDropSegment(seg))
	}
}
