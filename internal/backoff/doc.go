// Package backoff draws the delays between a caller's attempts, so that many callers of one server that fail at the same time do not
// retry at the same time. It implements capped exponential backoff with full jitter, drawn from the caller's own seed.
//
// Each delay is drawn uniformly from a window. Callers of New have to scale the first window with the number of callers, so that a slow
// server gets no more requests than it can serve.
//
// docs/design/fleet.md compares this algorithm with the other usual ones; full jitter spreads callers over the whole window. Existing
// libraries draw around a fixed delay (cenkalti/backoff: up to half of it either way) and from a random source that all callers share,
// so that a run can't be reproduced from a seed.
package backoff
