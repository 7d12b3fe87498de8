package settings

import (
	"bytes"
	"crypto/subtle"
	"fmt"
	"os"
)

// othersMask are the permission bits of group and others.
const othersMask = 0o077

// redacted stands for the content of a secret wherever it is printed.
const redacted = "[secret]"

// Secret is a credential that formatting, logging and encoding do not show.
type Secret struct{ value []byte }

var (
	_ fmt.Formatter  = Secret{}
	_ fmt.Stringer   = Secret{}
	_ fmt.GoStringer = Secret{}
)

// NewSecret returns a secret with a copy of value.
func NewSecret(value []byte) Secret { return Secret{bytes.Clone(value)} }

// Reveal returns the content. The caller must neither modify nor print it.
func (s Secret) Reveal() []byte { return s.value }

// Equal compares in time that depends on the length only.
func (s Secret) Equal(other []byte) bool {
	return len(s.value) > 0 && subtle.ConstantTimeCompare(s.value, other) == 1
}

// String returns a placeholder.
func (s Secret) String() string { return redacted }

// GoString returns a placeholder.
func (s Secret) GoString() string { return redacted }

// Format writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText returns a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// ReadSecret reads a secret from a file without surrounding white space. It
// refuses a file that is empty or that group or others may access.
func ReadSecret(path string) (Secret, error) {
	if err := checkPrivate(path); err != nil {
		return Secret{}, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Secret{}, err
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return Secret{}, fmt.Errorf("%s is empty", path)
	}
	return Secret{data}, nil
}

func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if mode := info.Mode(); !mode.IsRegular() || mode.Perm()&othersMask != 0 {
		return fmt.Errorf("%s has mode %v; it must be a file that only its owner can access (chmod 600)", path, mode)
	}
	return nil
}
