package replica

import (
	"fmt"
	"slices"

	"frostlink/internal/coord"
)

// Status tells how the member is.
func (c *Core) Status() coord.Status {
	st := c.node.Status()
	s := coord.Status{
		ID: c.cfg.ID, Incarnation: c.life.Number, Leader: st.Lead, Term: st.HardState.GetTerm(), Applied: c.applied,
		Committed: st.HardState.GetCommit(), Snapshot: c.taken,
	}
	switch {
	case c.failed != nil:
		s.Role, s.Detail = "failed", c.failed.Error()
	case !c.cleared:
		s.Role, s.Detail = "unannounced", "too few other members have been reached to be a majority with it"
	case c.leading:
		s.Role = "leader"
	case st.Lead != 0:
		s.Role = "follower"
	default:
		s.Role = "candidate"
	}
	ids, _ := c.others(c.conf)
	for _, id := range ids {
		p := coord.Peer{ID: id, Acknowledged: c.reached[id], Learner: slices.Contains(c.conf.GetLearners(), id)}
		if progress, ok := st.Progress[id]; ok {
			p.Match, p.Active = progress.Match, progress.RecentActive
		}
		s.Peers = append(s.Peers, p)
	}
	return s
}

// quiet is the library's logger: what it tells is in Status; what it can't go on after ends the process.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
