package rights

import (
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// sums holds sums of tokens by workspace.
type sums map[string]Tokens

// unknownSum replaces a sum out of range. No rights can be granted on it.
const unknownSum = tokens.Max

// UnmarshalCBOR implements cbor.Unmarshaler. A sum out of range becomes unknownSum, so that
// it stops its own workspace only.
func (s *sums) UnmarshalCBOR(data []byte) error {
	var decoded map[string]int64
	if err := peer.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*s = make(sums, len(decoded))
	for workspace, n := range decoded {
		sum, ok := tokens.FromInt(n)
		if !ok {
			sum = unknownSum
		}
		(*s)[workspace] = sum
	}
	return nil
}
