package checker

// checkAcceptedLate checks that messages were taken on in order to be delivered: not only once they were.
func (j *history) checkAcceptedLate() {
	taken, late := 0, 0
	var last *request
	for _, c := range j.requests {
		if !c.accepted || c.redelivery {
			continue
		}
		taken++
		if c.deliveredAt >= 0 && c.deliveredAt < c.answeredAt {
			late, last = late+1, c
		}
	}
	if float64(late) > half*float64(taken) {
		j.report(TakenLate, last.answeredAt, last.id, last.relay, last.destination,
			"%d of %d messages were answered only after their delivery, this one the last", late, taken)
	}
}
