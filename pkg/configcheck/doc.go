// Package configcheck examines a configuration before it is sent to a fleet. It finds
// errors, entries that no request can ever match, and limits that contradict each other, and
// it lists what differs from the version in force. It performs no I/O.
package configcheck
