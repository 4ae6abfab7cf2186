package policy

import "time"

// Response is what a response to an attempt means for its request.
type Response struct {
	Outcome           Outcome
	RetryAfter        time.Duration // from the destination; 0 if it sent none
	Final             bool          // the request has its terminal outcome
	AttemptsExhausted bool          // the request may have no further attempts
	OutcomeUnknown    bool          // the attempt may have executed, even if Outcome otherwise proves that it did not
}

// EndsAttempts reports whether no attempt of the request may follow: it is delivered or withdrawn, or it has had all its attempts.
func (r Response) EndsAttempts() bool { return r.Final || r.AttemptsExhausted }

// InDoubt returns how an attempt ends whose response may belong to an earlier request on its connection. The attempt may have executed,
// and the terminal outcome of its request is still owed. What the response forbids stays forbidden: further attempts, and attempts of
// other requests before RetryAfter has passed.
func (r Response) InDoubt() Response {
	doubtful := Response{Outcome: r.Outcome, RetryAfter: r.RetryAfter, AttemptsExhausted: r.EndsAttempts(), OutcomeUnknown: true}
	if r.Outcome == Succeeded {
		doubtful.Outcome = ConnectionReset
	}
	return doubtful
}

// FollowedBy returns what an unconfirmed response means once another one has followed on its connection. One of the two belongs to the
// request. own reports that it does not matter which, since they mean the same; otherwise the result is in doubt.
func (r Response) FollowedBy(other Response) (combined Response, own bool) {
	if r.Means(other) {
		r.RetryAfter = max(r.RetryAfter, other.RetryAfter)
		return r, true
	}
	return r.And(other).InDoubt(), false
}

// And returns r with all that another response on the same connection forbids.
func (r Response) And(other Response) Response {
	r.RetryAfter = max(r.RetryAfter, other.RetryAfter)
	r.AttemptsExhausted = r.AttemptsExhausted || other.EndsAttempts()
	return r
}

// Means reports whether two responses mean the same for their request.
func (r Response) Means(other Response) bool {
	return r.Outcome == other.Outcome && r.Final == other.Final && r.AttemptsExhausted == other.AttemptsExhausted
}
