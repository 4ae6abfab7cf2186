package coordsim

import (
	"slices"
	"strings"
	"time"
)

// trouble causes the next fault, after a while, until the calm.
func (r *run) trouble() {
	w := r.world
	pause := w.between(100*time.Millisecond, 4*time.Second)
	if r.clocks {
		pause = w.between(5*time.Second, 30*time.Second)
	}
	w.after(pause, nil, func() {
		if r.calm {
			return
		}
		kinds := []string{
			"crash", "crash all", "pause", "pause", "cut", "cut", "cut one way", "cut one way", "client crash", "client pause",
			"client cut one way", "client cut one way", "disk full", "disk slow", "leader pause", "leader cut one way", "hand on", "set back", "slow network",
			"leader cut from members", "leader cut from members", "client hears late", "client hears late", "crash in a write", "replace",
		}
		if r.clocks {
			kinds = []string{"client cut one way"}
		}
		kind := kinds[w.rand.IntN(len(kinds))]
		r.counts[kind]++
		r.cause(kind)
		r.trouble()
	})
}

func (r *run) cause(kind string) {
	w := r.world
	m := r.members[w.rand.IntN(len(r.members))]
	c := r.clients[w.rand.IntN(len(r.clients))]
	if i := slices.IndexFunc(r.members, (*member).leads); i >= 0 && strings.HasPrefix(kind, "leader ") {
		m = r.members[i]
	}
	span := w.between(50*time.Millisecond, 6*time.Second)
	switch kind {
	case "crash":
		m.crash()
		w.after(span, nil, m.start)
	case "crash in a write":
		r.crashInWrite(m, 2000, span)
	case "crash all":
		for _, one := range r.members {
			one.crash()
			w.after(w.between(0, 3*time.Second), nil, one.start)
			if w.chance(0.5) { // and again while it comes up
				w.after(w.between(0, time.Second), nil, func() {
					one.crash()
					w.after(w.between(0, time.Second), nil, one.start)
				})
			}
		}
	case "pause", "leader pause":
		m.busy = max(m.busy, w.now+span)
	case "cut":
		r.cutOff(m.number, span, true, true, r.processes())
	case "cut one way", "leader cut one way":
		out := w.chance(0.5)
		r.cutOff(m.number, span, out, !out, r.processes())
	case "leader cut from members": // clients still reach it
		r.cutOff(m.number, span, true, true, r.memberNumbers())
	case "client crash":
		if c.up {
			c.crash()
			w.after(span, nil, func() {
				if !c.up {
					c.start()
				}
			})
		}
	case "client pause":
		if c.up {
			c.still()
			c.busy = max(c.busy, w.now+span)
		}
	case "client cut one way":
		out := w.chance(0.5)
		r.cutOff(c.number, w.between(r.ttl/2, 2*r.ttl), out, !out, r.processes())
	case "client hears late": // and is then not heard any more
		w.net.late[c.number] = w.between(50*time.Millisecond, 280*time.Millisecond)
		w.after(w.between(r.ttl/3, r.ttl), nil, func() {
			if !r.calm {
				r.cutOff(c.number, r.ttl+span, true, false, r.processes())
			}
			delete(w.net.late, c.number)
		})
	case "slow network":
		w.net.high = 600 * time.Millisecond
		w.after(span, nil, func() {
			if !r.calm {
				w.net.high = r.high
			}
		})
	case "disk full":
		m.full = true
		w.after(span, nil, func() {
			m.full = false
			m.start()
		})
	case "disk slow":
		m.slow = 300 * time.Millisecond
		w.after(span, nil, func() {
			if !r.calm {
				m.slow = m.usual
			}
		})
	case "hand on":
		w.after(0, &m.process, func() {
			m.core.TransferLeadership()
			m.round()
		})
	case "replace":
		r.replace(m)
	case "set back":
		r.setBack(m)
	}
}

// crashInWrite crashes a member while a write is on its way to the disk, if there is one soon.
func (r *run) crashInWrite(m *member, tries int, span time.Duration) {
	if tries == 0 || r.calm {
		return
	}
	if m.up && m.saving != nil && r.world.now < m.savedAt {
		m.crash()
		r.world.after(span, nil, m.start)
		return
	}
	r.world.after(500*time.Microsecond, nil, func() { r.crashInWrite(m, tries-1, span) })
}

func (m *member) leads() bool {
	if !m.up {
		return false
	}
	leads, _ := m.core.Leadership()
	return leads
}

// cutOff loses what a process sends to others, hears from them, or both.
func (r *run) cutOff(number int, span time.Duration, out, in bool, others []int) {
	cut := r.world.net.cut
	var pairs [][2]int
	for _, p := range others {
		if p != number && out {
			pairs = append(pairs, [2]int{number, p})
		}
		if p != number && in {
			pairs = append(pairs, [2]int{p, number})
		}
	}
	for _, p := range pairs {
		cut[p]++
	}
	r.world.after(span, nil, func() {
		for _, p := range pairs {
			if cut[p] > 0 {
				cut[p]--
			}
		}
	})
}

func (r *run) memberNumbers() (list []int) {
	for _, m := range r.members {
		list = append(list, m.number)
	}
	return list
}

func (r *run) processes() []int {
	list := r.memberNumbers()
	for _, c := range r.clients {
		list = append(list, c.number)
	}
	for _, v := range r.writers {
		list = append(list, v.number)
	}
	return list
}

// setBack brings a member back with the disk that it had some time before, if all others knew of its life by then
// and its disk was of the life before: that has to be noticed. One member a run: a majority has to keep its memory.
func (r *run) setBack(m *member) {
	w := r.world
	if r.counts["were set back"] > 0 || !m.up || r.counts["were replaced"] > 0 {
		return
	}
	r.counts["were set back"]++
	old := m.disk
	m.crash()
	m.start()
	w.after(w.between(500*time.Millisecond, 4*time.Second), nil, func() {
		if !m.up || !slices.ContainsFunc(r.members, (*member).leads) {
			return
		}
		for _, p := range m.core.Status().Peers {
			if !p.Acknowledged {
				return
			}
		}
		r.counts["disks set back"]++
		m.crash()
		m.disk = old
		m.start()
		w.after(r.length+r.tail-w.now-time.Second, nil, func() {
			if m.stopped == nil {
				r.fault("disk", "member %d took part with a disk that was set back", m.id)
			}
		})
	})
}
