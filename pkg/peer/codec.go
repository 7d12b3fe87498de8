package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// DefaultCallTimeout bounds a call whose context has no deadline.
const DefaultCallTimeout = 5 * time.Second

// maxElements bounds arrays and maps. The library's default of 131,072 is less
// than the records of a busy shard; in practice the message size is the tighter
// bound.
const maxElements = 1 << 24

var (
	encMode = mustMode(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeUnixMicro}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		MaxNestedLevels: 32, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(err) // the options are constants and valid
	}
	return m
}

// Marshal returns the CBOR encoding of v that instances exchange. An error is
// of kind failure.Internal.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, failure.New(failure.Internal, "report this message to the maintainers", "message of type %T cannot be encoded: %v", v, err)
	}
	return b, nil
}

// Unmarshal decodes the CBOR encoding b into v. An error is of kind
// failure.Format.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return failure.New(failure.Format, "run compatible versions on all instances", "message of type %T cannot be decoded: %v", v, err)
	}
	return nil
}

// HandlerError converts the error of a handler to the typed error that the
// caller receives. A handler that was interrupted by the end of its context may
// have taken effect, so an untyped context error becomes failure.Uncertain.
func HandlerError(err error) *failure.Error {
	var typed *failure.Error
	if !errors.As(err, &typed) && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)) {
		return failure.New(failure.Uncertain, "read the state back before repeating the call", "the handler was interrupted: %v", err)
	}
	return failure.From(err)
}

// UnknownMethod returns the error for a call of a method without a handler.
func UnknownMethod(m Method) *failure.Error {
	return failure.New(failure.Invalid, "run compatible versions on all instances", "method %q is not known to this instance", m)
}
