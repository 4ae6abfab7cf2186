package checker

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// The margins within which a door's figures have to agree with the account: they may lag, and be off by a few or by a
// share; calls are written by other goroutines than the one that counts ends, and get a larger share.
const (
	figuresLag                = 500 * time.Millisecond
	offBy                     = 3.0
	offShare, offCalls        = 0.01, 0.02
	offInflight               = 0.1
	mostFigureBreaches        = 3 // a relay that counts wrongly once is wrong from there on
	successes, busies, failed = "success", "busy", "failure"
)

// Scrape is what a relay's door showed.
type Scrape struct {
	Success        map[string]int `json:"success"`
	Busy           map[string]int `json:"busy"`
	Failure        map[string]int `json:"failure"`
	BackendCalls   int            `json:"backend_calls"`
	Inflight       int            `json:"inflight"`
	HostsListed    int            `json:"hosts_listed"`
	HostsDown      int            `json:"hosts_down"`
	ReconfigOK     int            `json:"reconfig_ok"`
	ReconfigFailed int            `json:"reconfig_failed"`
}

// account is what the log says of one relay, over all its processes: when each of its messages came under which count.
type account struct {
	ends    map[string]map[string][]time.Duration // by count and class
	unheard map[string][]time.Duration            // by class: these may stand under any count, or under none
	calls   []time.Duration
	inside  []inFlightChange // messages that their clients know to be taken on, and not ended
	around  []inFlightChange // the same with those of which no client has heard yet
}

// inFlightChange changes the number of messages in flight.
type inFlightChange struct {
	at time.Duration
	by int
}

// process is one process of a relay: the figures of a process count from its start, and what ends before it takes
// clients may be counted by the process before it.
type process struct{ started, ready time.Duration }

// checkMetrics holds what each door showed against the account.
func (j *history) checkMetrics(log []Event) {
	accounts := map[int]*account{}
	processes := map[int]map[int]*process{}
	found := map[int]int{}
	for _, e := range log {
		switch e.Kind {
		case Started:
			if processes[e.Relay] == nil {
				processes[e.Relay] = map[int]*process{}
			}
			processes[e.Relay][e.Process] = &process{e.At, never}
		case Ready:
			if p := processes[e.Relay][e.Process]; p != nil {
				p.ready = e.At
			}
		case Scraped:
			a := accounts[e.Relay]
			if a == nil {
				a = j.account(e.Relay)
				accounts[e.Relay] = a
			}
			p := processes[e.Relay][e.Process]
			if p == nil || found[e.Relay] >= mostFigureBreaches {
				continue
			}
			for _, text := range a.against(e.At, p, e.Figures) {
				found[e.Relay]++
				j.report(FiguresWrong, e.At, "", e.Relay, -1, "%s", text)
			}
		}
	}
}

// account puts together what a relay's figures should say.
func (j *history) account(relay int) *account {
	a := &account{ends: map[string]map[string][]time.Duration{successes: {}, busies: {}, failed: {}}, unheard: map[string][]time.Duration{}}
	for _, c := range j.requests {
		if c.relay != relay || c.redelivery || c.fromStore {
			continue
		}
		class := j.Settings.Categories[c.class].Name
		under, at := j.metricOf(c)
		a.around = append(a.around, inFlightChange{c.submittedAt, 1})
		switch {
		case c.answeredAt < 0:
			a.unheard[class] = append(a.unheard[class], c.submittedAt)
			if at = c.completedAt(); at < 0 {
				at = c.deadline
			}
			a.around = append(a.around, inFlightChange{max(at, c.submittedAt), -1})
		case c.accepted:
			a.inside = append(a.inside, inFlightChange{c.answeredAt, 1})
			if under != "" {
				a.inside, a.around = append(a.inside, inFlightChange{at, -1}), append(a.around, inFlightChange{at, -1})
			}
		default:
			a.around = append(a.around, inFlightChange{c.answeredAt, -1})
		}
		if c.answeredAt >= 0 && under != "" {
			a.ends[under][class] = append(a.ends[under][class], at)
		}
	}
	for _, k := range j.attempts {
		if k.relay == relay && !k.probe && k.outcome != Unsent {
			a.calls = append(a.calls, k.lastByte)
		}
	}
	for _, by := range a.ends {
		for _, list := range by {
			slices.Sort(list)
		}
	}
	for _, list := range [][]inFlightChange{a.inside, a.around} {
		slices.SortFunc(list, func(x, y inFlightChange) int { return cmp.Compare(x.at, y.at) })
	}
	return a
}

// metricOf is the count that a message comes under, and when; none while it has no end, or none that is counted.
func (j *history) metricOf(c *request) (under string, at time.Duration) {
	switch {
	case c.answeredAt < 0:
		return "", 0
	case !c.accepted && (c.status == 429 || c.status == 503):
		return busies, c.answeredAt
	case !c.accepted && c.status >= 500:
		return failed, c.answeredAt
	case !c.accepted: // it was no message
		return "", 0
	case c.completedAt() < 0:
		return "", 0
	case c.deliveredAt >= 0 && c.deliveredAt == c.completedAt():
		return successes, max(c.deliveredAt, c.answeredAt)
	case len(c.notices) > 0 && c.notices[0].At == c.completedAt() && c.notices[0].State == Deferred:
		return busies, c.completedAt()
	}
	return failed, c.completedAt()
}

// between counts the times after one and up to another.
func between(times []time.Duration, after, until time.Duration) int {
	n := 0
	for _, t := range times {
		if t > after && t <= until {
			n++
		}
	}
	return n
}

// against names what in figures read at a time does not agree with the account.
func (a *account) against(at time.Duration, p *process, f *Scrape) (wrong []string) {
	check := func(name string, shown, least, most int, share float64) {
		slack := math.Max(offBy, share*float64(most))
		if float64(shown) < float64(least)-slack || float64(shown) > float64(most)+slack {
			wrong = append(wrong, fmt.Sprintf("%s shows %d, and the log has %d to %d", name, shown, least, most))
		}
	}
	counts := map[string]map[string]int{successes: f.Success, busies: f.Busy, failed: f.Failure}
	for _, under := range slices.Sorted(maps.Keys(counts)) {
		for class, shown := range counts[under] {
			times := a.ends[under][class]
			least := between(times, p.ready+figuresLag, at-figuresLag)
			most := between(times, p.started-figuresLag, at+figuresLag) + between(a.unheard[class], p.started-figuresLag, at)
			check(under+" of "+class, shown, least, most, offShare)
		}
	}
	check("backend_calls", f.BackendCalls, between(a.calls, p.ready+figuresLag, at-figuresLag),
		between(a.calls, p.started-figuresLag, at+figuresLag), offCalls)
	least, _ := within(a.inside, at-figuresLag, at+figuresLag)
	_, most := within(a.around, at-figuresLag, at+figuresLag)
	check("inflight", f.Inflight, least, most, offInflight)
	return wrong
}

// within gives the least and the most messages in flight between two times.
func within(steps []inFlightChange, from, to time.Duration) (least, most int) {
	n := 0
	for _, s := range steps {
		if s.at <= from {
			n += s.by
		}
	}
	least, most = n, n
	for _, s := range steps {
		if s.at > from && s.at <= to {
			n += s.by
			least, most = min(least, n), max(most, n)
		}
	}
	return least, most
}
