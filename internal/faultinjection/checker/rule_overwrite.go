package checker

// checkOverwrites checks that no resend began to be delivered after a newer message of its subject had been.
func (j *history) checkOverwrites() {
	type subject struct {
		dest, class int
		name        string
	}
	by := map[subject][]*request{}
	for _, c := range j.requests {
		if c.subject != "" && c.deliveredAt >= 0 {
			s := subject{c.destination, c.class, c.subject}
			by[s] = append(by[s], c)
		}
	}
	for _, c := range j.requests {
		if !c.redelivery || c.subject == "" {
			continue
		}
		for _, newer := range by[subject{c.destination, c.class, c.subject}] {
			for _, a := range c.attempts {
				if newer.message > c.message && a.mayHaveExecuted() && newer.deliveredAt < a.firstByte {
					j.report(Overwritten, a.firstByte, c.id, a.relay, c.destination, "a status of %s resent after a newer one, %s, was delivered at %s",
						c.subject, newer.id, formatTime(newer.deliveredAt))
					return
				}
			}
		}
	}
}
