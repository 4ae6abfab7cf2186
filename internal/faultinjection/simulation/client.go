package simulation

import (
	"frostlink/internal/faultinjection/scenario"
)

// submit has a client submit a message to a relay that accepts submissions, or try again later if there is none. submission is
// the number of earlier submissions of the message.
func (f *fleet) submit(m *scenario.Message, submission int) {
	up := f.acceptingRelays()
	timeLeft := scenario.Seconds(f.Scenario.Classes[m.Class].Deadline) - (f.now - m.At)
	switch {
	case timeLeft <= 0:
		f.completed[m.Number] = true // the deadline has passed: the client has given up, and no relay is responsible for the message
		return
	case len(up) == 0:
		f.after(m.ResubmitDelay, func() { f.submit(m, submission) })
		return
	}
	f.chooseRelay(up, m, submission).receive(m, submission, timeLeft)
}

// acceptingRelays returns the relays that accept submissions.
func (f *fleet) acceptingRelays() (up []*relay) {
	for _, r := range f.relays {
		if r.alive && !r.stopping {
			up = append(up, r)
		}
	}
	return up
}

func (f *fleet) chooseRelay(up []*relay, m *scenario.Message, submission int) *relay {
	draw := m.RelayDraw
	if submission > 0 {
		draw = f.random.Stream("retry", m.Number, submission).Float64()
	}
	if f.Skew > 0 && f.random.Stream("skew", m.Number).Float64() < f.Skew {
		return up[0]
	}
	return up[int(draw*float64(len(up)))]
}

// clientLeaves reports whether the client of a submission disconnects before the response. A delivery by the relay then does not
// count, and the client submits the message again.
func (f *fleet) clientLeaves(m *scenario.Message, submission int) bool {
	return f.leavingShare > 0 && f.random.Stream("hasty", m.Number, submission).Float64() < f.leavingShare
}
