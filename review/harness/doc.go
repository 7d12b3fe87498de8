// Command harness plays the cases of the review: it starts the entry program as separate
// processes on loopback addresses, with small stand-ins of the store, the runners and the
// clients, and judges what those see.
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
package main
