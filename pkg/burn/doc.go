// Package burn measures how fast services use up their error budgets.
//
// A Recorder counts good and bad requests per service and workspace in rings of
// buckets over several windows. The burn rate of a window is the share of bad
// requests divided by the share that the objective allows: 1 uses the error
// budget up exactly at the end of its period. Reports of several instances are
// merged by addition. Limits: nothing survives a restart, and a window moves in
// steps of a twentieth of its length.
package burn
