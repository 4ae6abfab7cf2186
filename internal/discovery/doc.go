// Package discovery follows the endpoint list by a watch on the platform's discovery service.
//
// A watch is one GET whose response does not end: the service sends the whole list or a change of
// it as one JSON value each, and an empty line every 2 s so that a client can tell a quiet watch
// from a dead one. Each list has a sequence number; a watch asks for what follows the last number
// that it has, and number 0 asks for the whole list.
//
// A [Watcher] holds one watch at a time. It starts one each time that it is asked to, and reports
// when it ends: whether to ask again is the caller's decision, and when the watcher's, by a
// [Schedule] that spreads the relays of a fleet.
//
// Files:
//
//   - list.go: the endpoint list, its changes and its form on the wire;
//   - watcher.go: the watcher, from one watch to the next;
//   - watch.go: one watch, read within bounds;
//   - schedule.go: when to ask again;
//   - errors.go: why watches end.
package discovery
