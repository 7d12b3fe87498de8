package config

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Encode returns the stored form. It fails with failure.Invalid if the document
// does not fit into one value of the store.
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

// Decode reads the stored form. It fails with failure.Format if the data has
// another format version or is not a document.
func Decode(data []byte) (*Document, error) {
	var head struct {
		Format int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data, &head); err != nil {
		return nil, undecodable(err)
	}
	if err := checkFormat(head.Format); err != nil {
		return nil, err
	}
	d := &Document{}
	if err := cbor.Unmarshal(data, d); err != nil {
		return nil, undecodable(err)
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

func undecodable(err error) error {
	return failure.New(failure.Format, "restore the key \""+StoreKey+"\" from the platform's backup",
		"configuration cannot be decoded: %v", err)
}

// Clone returns a deep copy.
func (d *Document) Clone() *Document {
	data, err := cbor.Marshal(d)
	if err != nil {
		panic(err) // the type has no field that CBOR cannot hold
	}
	c := &Document{}
	if err := cbor.Unmarshal(data, c); err != nil {
		panic(err) // the data was written just above
	}
	return c
}

// HasApplied reports whether a command is among the latest changes.
func (d *Document) HasApplied(command string) bool {
	for _, c := range d.Applied {
		if c.Command == command {
			return true
		}
	}
	return false
}
