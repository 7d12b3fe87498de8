// Command routing compares policies for the choice of an engine.
//
// A small event loop drives the real routing.Pool of several instances with a
// fake clock against engines that are queues with a bounded prefix cache and a load
// report that lags. Limits: one failure domain, no failures, service times from
// one distribution; it is no model of a real engine, so only differences between
// policies in the same run mean something.
package main
