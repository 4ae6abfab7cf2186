// Package discovery follows the endpoint list with a watch on the platform's discovery service.
//
// A watch is one GET request whose response does not end. The service sends the whole list, and each
// change of it, as one JSON value each, and an empty line every 2 s, so that a client can distinguish
// an idle watch from a dead one. Each list has a sequence number. A watch asks for the changes after
// the last number that the client has received; number 0 asks for the whole list.
//
// A [Watcher] runs one watch at a time. It starts a watch each time the caller subscribes, and
// reports when the watch ends. The caller decides whether to subscribe again. The watcher decides
// when the next request is sent, with a [Schedule] that spreads the requests of a fleet's relays.
//
// Files:
//
//   - list.go: the endpoint list, its changes and its JSON encoding;
//   - watcher.go: the watcher, which runs one watch after another;
//   - watch.go: one watch, with limits on its silence and the size of a list;
//   - pace.go: the rate of the lists of a watch;
//   - schedule.go: the delays between requests;
//   - errors.go: the errors that end a watch.
package discovery
