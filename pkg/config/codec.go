package config

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Encode returns the document in its stored form, CBOR. It fails with
// failure.Invalid if the document does not fit into one value of the store.
func Encode(d *Document) ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, failure.New(failure.Internal, "report this message to the maintainers", "configuration cannot be encoded: %v", err)
	}
	if len(data) > kvstore.MaxValueBytes {
		return nil, failure.New(failure.Invalid, "remove workspaces or endpoints, or shorten their names",
			"configuration takes %d bytes, the store accepts %d", len(data), kvstore.MaxValueBytes)
	}
	return data, nil
}

// Decode decodes the stored form of a document. It fails with failure.Format if
// data has another format version or is not a document.
func Decode(data []byte) (*Document, error) {
	var header struct {
		Format int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &header); err != nil {
		return nil, decodeError(err)
	}
	if err := checkFormat(header.Format); err != nil {
		return nil, err
	}
	d := &Document{}
	if err := cbor.Unmarshal(data, d); err != nil {
		return nil, decodeError(err)
	}
	return d, nil
}

func checkFormat(format int) error {
	if format == FormatVersion {
		return nil
	}
	return failure.New(failure.Format, "upgrade this instance to the release that wrote the configuration",
		"configuration has format %d, this release reads format %d", format, FormatVersion)
}

func decodeError(err error) error {
	return failure.New(failure.Format, "restore the key \""+StoreKey+"\" from the platform's backup",
		"configuration cannot be decoded: %v", err)
}

// Clone returns a deep copy of the document.
func (d *Document) Clone() *Document {
	data, err := cbor.Marshal(d)
	if err != nil {
		panic(err) // every field of the type can be encoded as CBOR
	}
	c := &Document{}
	if err := cbor.Unmarshal(data, c); err != nil {
		panic(err) // data was encoded above
	}
	return c
}

// HasApplied reports whether the command is among the latest changes in Applied.
func (d *Document) HasApplied(command string) bool {
	for _, c := range d.Applied {
		if c.Command == command {
			return true
		}
	}
	return false
}
