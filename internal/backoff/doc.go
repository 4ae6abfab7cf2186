// Package backoff draws the delays between a caller's attempts, so that many callers of one server that fail together do not come back
// together: capped exponential backoff with full jitter, drawn from the caller's own seed.
//
// Each delay is drawn evenly from a window. The first window is to grow with the number of callers, so that a slow server is offered
// no more than it can serve; whoever makes a Backoff sees to that.
//
// docs/design/fleet.md compares the forms in use. This is the one whose callers spread over the whole window. The libraries at hand
// draw around a fixed delay (cenkalti/backoff: half of it to either side), and from a source that all callers share, so that no seed
// replays them.
package backoff
