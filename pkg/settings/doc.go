// Package settings reads the INI settings of the daemon.
//
// Load checks the whole file and reports all faults at once, each with its section,
// key, reason and remedy. Secrets are read from separate files and are never printed.
// Limits: settings are read once at start, so a change requires a restart.
package settings
