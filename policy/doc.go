// Package policy decides what a dispatcher of notifications does with its messages.
//
// The ordinary path is Hyytiä's admission control for parallel first-come queues: an arriving message is
// refused at once when the backlog of its destination leaves it no time, tightened by the value-function
// bound. Everything else here is a guard for what the paper does not treat.
package policy
