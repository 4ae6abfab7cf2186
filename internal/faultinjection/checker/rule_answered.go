package checker

// checkAnswered checks that no relay closed a new connection on a request that was sent whole, without an answer. Of a process that ended, or
// a connection that was made to look broken, that is no fault.
func (j *history) checkAnswered(c *request) {
	for _, at := range c.closedAt {
		_, away := j.excused(c.relay, at)
		_, leaving := j.excused(c.relay, at+crossingTime)
		if !away && !leaving && !j.socketFailures.hold(c.relay, at) {
			j.report(Unanswered, at, c.id, c.relay, c.destination, "sent at %s, closed on at %s", formatTime(c.submittedAt), formatTime(at))
		}
	}
}
