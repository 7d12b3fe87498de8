// Command routing is a benchmark of policies that choose the engine for a request.
//
// A discrete-event simulation drives the real routing.Pool of several instances on
// a fake clock. An engine is modelled as a queue with a bounded prefix cache and
// delayed load reports. Limits: there is one failure domain, nothing fails, and all
// service times come from one distribution. The model does not predict a real
// engine, so results are only comparable between policies of the same run.
package main
