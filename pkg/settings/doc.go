// Package settings reads the INI settings of the daemon.
//
// A file is checked as a whole: Load reports every fault at once with its
// section, key, reason and remedy. Secrets are read from files of their own and
// are never printed. Limits: settings are read once at start; a change takes a
// restart.
package settings
