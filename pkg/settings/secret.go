package settings

import (
	"bytes"
	"crypto/subtle"
	"fmt"
	"os"
)

// groupAndOthersMask selects the permission bits of group and others.
const groupAndOthersMask = 0o077

// secretPlaceholder is printed in place of the content of a secret.
const secretPlaceholder = "[secret]"

// Secret is a credential whose content is not printed by formatting, logging and
// encoding.
type Secret struct{ value []byte }

var (
	_ fmt.Formatter  = Secret{}
	_ fmt.Stringer   = Secret{}
	_ fmt.GoStringer = Secret{}
)

// NewSecret returns a secret that holds a copy of value.
func NewSecret(value []byte) Secret { return Secret{bytes.Clone(value)} }

// Reveal returns the content of the secret. The caller must neither modify nor print
// it.
func (s Secret) Reveal() []byte { return s.value }

// Equal reports whether the content equals other, in a time that depends only on the
// length. An empty secret equals nothing.
func (s Secret) Equal(other []byte) bool {
	return len(s.value) > 0 && subtle.ConstantTimeCompare(s.value, other) == 1
}

// String implements fmt.Stringer with a placeholder.
func (s Secret) String() string { return secretPlaceholder }

// GoString implements fmt.GoStringer with a placeholder.
func (s Secret) GoString() string { return secretPlaceholder }

// Format implements fmt.Formatter. It writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(secretPlaceholder)) }

// MarshalText implements encoding.TextMarshaler with a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(secretPlaceholder), nil }

// ReadSecret reads a secret from a file and trims white space around it. It rejects
// a file that is empty or whose mode allows access by group or others.
func ReadSecret(path string) (Secret, error) {
	if err := checkOwnerOnly(path); err != nil {
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

// checkOwnerOnly returns an error unless path is a regular file without permissions
// for group and others.
func checkOwnerOnly(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if mode := info.Mode(); !mode.IsRegular() || mode.Perm()&groupAndOthersMask != 0 {
		return fmt.Errorf("%s has mode %v; it must be a file that only its owner can access (chmod 600)", path, mode)
	}
	return nil
}
