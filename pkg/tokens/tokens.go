// Package tokens has the type of amounts of tokens that callers, operators, the store and
// other instances state. Its operations neither overflow nor yield an amount below zero, and
// numbers are checked once, where they are decoded. Code outside this package compares amounts
// with operators and calculates with methods only, which a test checks.
package tokens

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/limits"
)

// Count is an amount of prompt and output tokens, from 0 to Max. An operation takes an operand
// below 0 for 0, and one above Max for Max.
type Count int64

// Max stands for itself and all larger amounts. Up to it, all integers are exact as a float64
// and in JSON, and no workspace consumes as much.
const Max Count = 1 << 53

// Delta is a change of an amount, from -Max to Max.
type Delta int64

// bound returns the amount in the range that is nearest to c.
func (c Count) bound() Count { return min(max(c, 0), Max) }

// Plus returns the sum of c and all others, or Max if it is larger.
func (c Count) Plus(others ...Count) Count {
	c = c.bound()
	for _, other := range others {
		c = (c + other.bound()).bound()
	}
	return c
}

// Excess returns by how much c exceeds other, or 0 if it does not.
func (c Count) Excess(other Count) Count { return (c.bound() - other.bound()).bound() }

// Take returns what remains of c without n. It reports false, and returns c, if n is larger
// than c or below 0, or is Max, which may stand for more.
func (c Count) Take(n Count) (rest Count, ok bool) {
	if n < 0 || n > c || n >= Max {
		return c, false
	}
	return c - n, true
}

// Times returns c times n, or Max if the product is larger. An n below 0 counts as 0.
func (c Count) Times(n int64) Count {
	c, factor := c.bound(), Count(n).bound()
	if factor > 0 && c > Max/factor {
		return Max
	}
	return c * factor
}

// Minus returns the change that leads from other to c.
func (c Count) Minus(other Count) Delta { return Delta(c.bound() - other.bound()) }

// Increase returns d if it is positive, and 0 otherwise.
func (d Delta) Increase() Count { return Count(d).bound() }

// Decrease returns the amount by which d lowers another, or 0 if it does not.
func (d Delta) Decrease() Count { return Count(-max(d, -Delta(Max))).bound() }

// FromInt returns the amount of n tokens. It reports false if n is out of range.
func FromInt(n int64) (Count, bool) { return Count(n), Count(n) == Count(n).bound() }

// FromFloat returns the amount of v tokens without its fraction. NaN counts as 0.
func FromFloat(v float64) Count {
	switch {
	case v >= float64(Max):
		return Max
	case v > 0:
		return Count(v)
	}
	return 0
}

// Parse parses a decimal number of tokens. A number above Max yields Max. Parse fails if the
// text is no whole number or is below 0.
func Parse(text string) (Count, error) {
	n, ok := limits.ParseInt(text)
	if !ok {
		return 0, errors.Newf("%.40q is no number of tokens", text)
	}
	if n < 0 {
		return 0, errors.Newf("%d tokens are less than none", n)
	}
	return Count(n).bound(), nil
}

// UnmarshalJSON implements json.Unmarshaler as Parse does. A null changes nothing.
func (c *Count) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	n, err := Parse(string(text))
	if err == nil {
		*c = n
	}
	return err
}

// UnmarshalCBOR implements cbor.Unmarshaler. Unlike Parse it fails for a number above Max:
// only instances encode amounts in this way.
func (c *Count) UnmarshalCBOR(data []byte) error {
	var n uint64
	if err := cbor.Unmarshal(data, &n); err != nil {
		return errors.Wrap(err, "number of tokens")
	}
	if n > uint64(Max) {
		return errors.Newf("%d tokens are more than %d", n, Max)
	}
	*c = Count(n)
	return nil
}
