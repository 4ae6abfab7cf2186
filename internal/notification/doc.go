// Package notification posts terminal outcomes to the platform until it acknowledges them.
//
// A [Notice] is the terminal outcome of a request that was accepted and not delivered. The relay
// enqueues it once the outcome is recorded in its journal; a [Notifier] posts it, in batches and
// over several connections, and retries until the platform acknowledges it. What is not
// acknowledged when the process ends is enqueued again by its successor, from the journal.
//
// On the wire a post is one JSON value a line. The platform answers 204 once it has all of them,
// and 400 where it cannot read one.
//
// Files:
//
//   - notice.go: the notice and its form on the wire;
//   - queue.go: the notices that wait for a post;
//   - notifier.go: the posters, and the retry of what is not acknowledged;
//   - post.go: one post.
package notification
