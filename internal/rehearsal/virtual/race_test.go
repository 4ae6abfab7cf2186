//go:build race

package virtual

// raced says that the race detector is on: a fleet runs on one thread and would take ten times as long for nothing.
const raced = true
