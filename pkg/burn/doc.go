// Package burn measures how fast services consume their error budgets.
//
// A Recorder counts good and bad requests per service and workspace over several sliding
// windows, each a ring of buckets. The burn rate of a window is the share of bad requests
// divided by the share that the objective allows: at a rate of 1 the error budget is used
// up exactly at the end of its period. Reports of several instances are merged by adding
// their counts. Limits: the counts are lost at a restart, and a window advances in steps
// of a twentieth of its length.
package burn
