package coordsim

import "slices"

// checkExecutions checks the executions under each lease in the order of their start. Each execution is compared with the one that ends
// last among the executions that started before it.
func (s *simulation) checkExecutions() {
	byLease := map[string][]*execution{}
	for _, e := range s.executions {
		if !e.ended && !e.paused {
			e.end = s.now()
		}
		byLease[e.lease] = append(byLease[e.lease], e)
	}
	for _, name := range s.leases {
		list := byLease[name]
		slices.SortStableFunc(list, func(a, b *execution) int { return int(a.start - b.start) })
		var last *execution // the execution with the latest end so far
		for _, e := range list {
			if last != nil {
				s.checkOverlap(last, e)
				s.checkTokenOrder(last, e)
			}
			if last == nil || e.end > last.end {
				last = e
			}
		}
	}
}

// checkOverlap checks that executions under two tokens do not overlap in true time.
func (s *simulation) checkOverlap(earlier, later *execution) {
	if later.token != earlier.token && later.start < earlier.end {
		s.report(checkOverlap, "%s: %s acts from %v to %v under %d, and %s from %v to %v under %d", later.lease,
			earlier.client.name, earlier.start, earlier.end, earlier.token, later.client.name, later.start, later.end, later.token)
	}
}

// checkTokenOrder checks that the later execution does not have the lower token.
func (s *simulation) checkTokenOrder(earlier, later *execution) {
	if later.token < earlier.token {
		s.report(checkToken, "%s: an act under %d at %v, after one under %d at %v", later.lease, later.token, later.start,
			earlier.token, earlier.start)
	}
}
