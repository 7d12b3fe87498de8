package limits

import (
	"errors"
	"strconv"
	"strings"
)

// ParseInt parses a decimal whole number, which may have a sign. A number beyond 64 bits
// yields the nearest one. It reports false for any other text.
func ParseInt(text string) (n int64, ok bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	if errors.Is(err, strconv.ErrRange) {
		// strconv.ParseInt has not looked at what follows.
		return n, strings.Trim(text[1:], "0123456789") == ""
	}
	return n, err == nil
}
