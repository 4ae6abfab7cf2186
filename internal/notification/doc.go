// Package notification posts terminal outcomes to the platform until the platform acknowledges them.
//
// A [Notice] reports the terminal outcome of a request that was accepted and not delivered. The relay
// enqueues the notice once the outcome is recorded in its journal. A [Notifier] posts notices, in
// batches and over several connections, and retries until the platform acknowledges them. Notices that
// are not acknowledged when the process ends are enqueued again by the next process, from the journal.
//
// The body of a post has one JSON value per line. The platform answers with status 204 once it has all
// notices of the post, and with 400 if it can't parse one of them.
//
// Files:
//
//   - notice.go: the notice and its encoding on the wire;
//   - queue.go: the notices that wait to be posted;
//   - notifier.go: the goroutines that post notices, and the retry of unacknowledged notices;
//   - post.go: one post.
package notification
