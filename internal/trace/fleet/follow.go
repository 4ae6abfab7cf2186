package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"frostlink/internal/trace"
)

const (
	// endSlack, in milliseconds, after its time is up a message must have its end at the latest: the protocol's 300 ms, and
	// the 50 ms that each limit is longer on sockets.
	endSlack = 350
	// startSlack, in milliseconds, after a relay is ready again its ends may be overdue.
	startSlack = 1500
	// memorySlack, in milliseconds, is what the time in which a key is kept is longer on sockets.
	memorySlack = 50
	// backwards, in milliseconds, a relay's own clock may step from one line to the next before that is said: lines of
	// different goroutines may change places by less.
	backwards = 20
)

// Wrong says what is wrong with a message's course, the worst first.
type Wrong string

// What can be wrong.
const (
	Lost      Wrong = "no end"             // taken on, its time is up, and its relay has run on without ending it
	Twice     Wrong = "may have run twice" // sent again though an earlier call may have run, and its class forbids that
	TwoEnds   Wrong = "two ends"
	TwoCopies Wrong = "two copies out" // sent while an earlier call was out
	LateEnd   Wrong = "late end"
	AfterEnd  Wrong = "sent after its end"
)

// wrongs are in order, worst first.
var wrongs = []Wrong{Lost, Twice, TwoEnds, TwoCopies, LateEnd, AfterEnd}

// Fault is one thing wrong.
type Fault struct {
	What  Wrong   `json:"what"`
	At    float64 `json:"at"` // Unix time in milliseconds
	Relay string  `json:"relay"`
	Text  string  `json:"text"`
}

// Course is what became of one message, over all relays that touched it.
type Course struct {
	ID     string   `json:"id"`
	Class  string   `json:"class,omitempty"`
	Dest   int      `json:"dest"`
	Effect string   `json:"effect,omitempty"`
	Events []Logged `json:"events"` // in order of time, each relay's in the order of its log
	Faults []Fault  `json:"faults,omitempty"`
	// Unsure is what the logs do not tell: that is no fault, and no proof that there is none.
	Unsure []string `json:"unsure,omitempty"`
	// Kin are other ids under which a message with the same key was handed in, with the relays that had them.
	Kin []Kin `json:"kin,omitempty"`
}

// Kin is another hand-in of a message.
type Kin struct {
	ID    string  `json:"id"`
	Relay string  `json:"relay"`
	At    float64 `json:"at"`
	How   string  `json:"how"` // taken on or refused
	Retry string  `json:"retry,omitempty"`
}

// Trail is a fleet's traces, made ready to follow messages.
type Trail struct {
	relays map[string]*process
	ids    map[string][]Logged // in the order of the logs
	keys   map[string][]Logged // hand-ins, by key
	Told   int                 // relays in the fleet by the settings that one of them started with; 0: none started
	Unsure []string            // what is wrong with the logs as a whole
}

// process is what is known of one relay's lives.
type process struct {
	starts, stops []float64
	last          float64 // its log ends here
}

// NewTrail reads events as they stand in the logs, each relay's in order.
func NewTrail(logs *Logs) *Trail {
	t := &Trail{relays: map[string]*process{}, ids: map[string][]Logged{}, keys: map[string][]Logged{}}
	back := map[string]float64{}
	for _, e := range logs.Events {
		p := t.relays[e.Relay]
		if p == nil {
			p = &process{last: e.At}
			t.relays[e.Relay] = p
		}
		if step := p.last - e.At; step > max(backwards, back[e.Relay]) {
			back[e.Relay] = step
		}
		p.last = max(p.last, e.At)
		switch e.Kind {
		case trace.RelayStarted:
			p.starts = append(p.starts, e.At)
			t.Told = max(t.Told, e.Count)
		case trace.ShutdownRequested:
			p.stops = append(p.stops, e.At)
		}
		if e.ID == "" {
			continue
		}
		t.ids[e.ID] = append(t.ids[e.ID], e)
		if (e.Kind == trace.Accepted || e.Kind == trace.Rejected) && e.Key != "" {
			t.keys[e.Key] = append(t.keys[e.Key], e)
		}
	}
	if missing := t.Told - len(t.relays); missing > 0 {
		t.Unsure = append(t.Unsure, fmt.Sprintf("the settings name %d relays, and there are logs of %d: what the other %d did does not show",
			t.Told, len(t.relays), missing))
	}
	for _, relay := range sortedNames(back) {
		t.Unsure = append(t.Unsure, fmt.Sprintf("the clock of %s steps back by up to %.0f ms: its times can't be held against others'", relay, back[relay]))
	}
	if len(logs.Bad) > 0 {
		t.Unsure = append(t.Unsure, fmt.Sprintf("%d lines can't be used: what they held is missing", len(logs.Bad)))
	}
	return t
}

func sortedNames(m map[string]float64) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Follow gives the course of a message, or nil where no log names it.
func (t *Trail) Follow(id string) *Course {
	events := t.ids[id]
	if len(events) == 0 {
		return nil
	}
	c := &Course{ID: id, Class: events[0].Class, Dest: events[0].Destination}
	at := map[string]*stay{}
	var order []string
	for _, e := range events {
		s := at[e.Relay]
		if s == nil {
			s = &stay{c: c, relay: e.Relay, process: t.relays[e.Relay]}
			at[e.Relay] = s
			order = append(order, e.Relay)
		}
		s.add(e)
		c.Effect = cmp.Or(e.Idempotency, c.Effect)
	}
	c.Events = slices.Clone(events)
	for _, relay := range order {
		s := at[relay]
		s.close()
		// Its relay's starts and stops belong to its course while it was there.
		for _, start := range s.process.starts {
			if start > s.first && start < s.until() {
				c.Events = append(c.Events, Logged{relay, trace.Event{Version: trace.Version, At: start, Kind: trace.RelayStarted}})
			}
		}
		for _, stop := range s.process.stops {
			if stop > s.first && stop < s.until() {
				c.Events = append(c.Events, Logged{relay, trace.Event{Version: trace.Version, At: stop, Kind: trace.ShutdownRequested}})
			}
		}
	}
	slices.SortStableFunc(c.Events, func(a, b Logged) int { return cmp.Compare(a.At, b.At) })
	t.kin(c, events)
	slices.SortStableFunc(c.Faults, func(a, b Fault) int {
		return cmp.Compare(slices.Index(wrongs, a.What), slices.Index(wrongs, b.What))
	})
	return c
}

// kin finds the other hand-ins of a message.
func (t *Trail) kin(c *Course, events []Logged) {
	key := ""
	for _, e := range events {
		key = cmp.Or(e.Key, key)
	}
	if key == "" {
		return
	}
	for _, e := range t.keys[key] {
		if e.ID != c.ID {
			c.Kin = append(c.Kin, Kin{ID: e.ID, Relay: e.Relay, At: e.At, How: map[trace.Kind]string{trace.Accepted: "taken on", trace.Rejected: "refused"}[e.Kind], Retry: e.Retry})
		}
	}
	slices.SortStableFunc(c.Kin, func(a, b Kin) int { return cmp.Compare(a.At, b.At) })
	first := slices.MinFunc(t.keys[key], func(a, b Logged) int { return cmp.Compare(a.At, b.At) })
	if first.Retry != "" {
		c.Unsure = append(c.Unsure, fmt.Sprintf("its earliest hand-in in the logs, at %s, says that it was handed in before: a log is missing, or clocks differ", first.Relay))
	}
}

// Wrong gives the courses of all messages with which something is wrong, the worst first.
func (t *Trail) Wrong() []*Course {
	var out []*Course
	for id := range t.ids {
		if c := t.Follow(id); len(c.Faults) > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Course) int {
		return cmp.Or(cmp.Compare(slices.Index(wrongs, a.Faults[0].What), slices.Index(wrongs, b.Faults[0].What)),
			cmp.Compare(len(b.Faults), len(a.Faults)), cmp.Compare(a.Faults[0].At, b.Faults[0].At), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Messages is how many ids the logs name.
func (t *Trail) Messages() int { return len(t.ids) }

// stay is a message's stay at one relay. It takes the events of the message there in their order, and finds what is wrong.
type stay struct {
	c       *Course
	relay   string
	process *process

	first   float64 // of its events
	last    float64
	taken   bool
	turned  bool
	due     float64 // 0: unknown
	effect  string
	memory  float64
	calls   int
	out     *Logged // the call that is out
	ranAt   float64 // when the first call that may have run was sent; 0: none
	ran     string  // and how it ended
	end     string  // empty: it has none
	endAt   float64
	noticed float64
}

// until is when the stay is over as far as the logs tell.
func (s *stay) until() float64 {
	if s.end != "" {
		return s.last
	}
	return s.process.last
}

func (s *stay) fault(what Wrong, at float64, format string, args ...any) {
	s.c.Faults = append(s.c.Faults, Fault{what, at, s.relay, fmt.Sprintf(format, args...)})
}

func (s *stay) unsure(format string, args ...any) {
	s.c.Unsure = append(s.c.Unsure, s.relay+": "+fmt.Sprintf(format, args...))
}

// restarted tells whether a process of the relay began between two times.
func (s *stay) restarted(from, to float64) bool {
	return slices.ContainsFunc(s.process.starts, func(at float64) bool { return at > from && at <= to })
}

func (s *stay) add(e Logged) {
	if s.first == 0 {
		s.first = e.At
	}
	s.last = max(s.last, e.At)
	switch e.Kind {
	case trace.Accepted, trace.Rejected, trace.Recovered:
		s.taken = s.taken || e.Kind != trace.Rejected
		s.turned = s.turned || e.Kind == trace.Rejected
		s.due, s.effect, s.memory = max(s.due, e.Deadline), cmp.Or(e.Idempotency, s.effect), max(s.memory, e.KeyTTLMs)
		if e.Kind == trace.Recovered {
			s.resume(e)
		}
	case trace.AttemptStarted:
		s.send(e)
	case trace.AttemptEnded:
		s.answer(e)
	case trace.Completed:
		s.ended(e)
	case trace.Notified:
		s.noticed = cmp.Or(s.noticed, e.At)
	}
}

// resume takes in that a process took the message up from the journal: a call that was out may have run.
func (s *stay) resume(e Logged) {
	if s.out != nil {
		s.mayHaveRun(s.out, "out when the process ended")
		s.out = nil
	}
	if e.Outcome != "" && s.end == "" {
		// Its end was journalled, and the line of the trace was not written any more, or it is another log's.
		s.end, s.endAt = e.Outcome, e.At
	}
	if e.Count > s.calls {
		s.unsure("the journal knows of %d calls, and the log of %d", e.Count, s.calls)
		s.calls = e.Count
	}
}

func (s *stay) mayHaveRun(call *Logged, how string) {
	if s.ranAt == 0 {
		s.ranAt, s.ran = call.At, how
	}
}

func (s *stay) send(e Logged) {
	switch {
	case s.out != nil && s.restarted(s.out.At, e.At):
		s.mayHaveRun(s.out, "out when the process ended")
	case s.out != nil:
		s.fault(TwoCopies, e.At, "call %d to %s while call %d to %s was out", e.Count, e.Endpoint, s.out.Count, s.out.Endpoint)
	}
	switch {
	case !s.taken:
		s.unsure("call %d to %s, and no line that it was taken on", e.Count, e.Endpoint)
	case s.end != "" && !s.restarted(s.endAt, e.At):
		s.fault(AfterEnd, e.At, "call %d to %s, %.0f ms after its end (%s)", e.Count, e.Endpoint, e.At-s.endAt, s.end)
	}
	if s.ranAt > 0 {
		since := e.At - s.ranAt
		switch {
		case s.effect == trace.NotIdempotent:
			s.fault(Twice, e.At, "call %d to %s, though one %.0f ms before may have run (%s)", e.Count, e.Endpoint, since, s.ran)
		case s.effect == trace.IdempotentByKey && s.memory > 0 && since > s.memory+memorySlack:
			s.fault(Twice, e.At, "call %d to %s, %.0f ms after one that may have run (%s); its key is kept for %.0f ms", e.Count, e.Endpoint, since,
				s.ran, s.memory)
		}
	}
	s.calls = max(s.calls, e.Count)
	s.out = &e
}

// unrun are the outcomes that prove that a call never ran.
var unrun = map[string]bool{turnedAway: true, noConnection: true, notSent: true}

func (s *stay) answer(e Logged) {
	call := s.out
	if call == nil {
		s.unsure("call %d to %s ended (%s), and no line that it was made", e.Count, e.Endpoint, e.Outcome)
		call = &Logged{e.Relay, trace.Event{At: e.At - e.DurationMs, Endpoint: e.Endpoint, Count: e.Count}}
	}
	s.out = nil
	if unrun[e.Outcome] {
		return
	}
	s.mayHaveRun(call, e.Outcome)
	// A connection may come up long after the call was decided on: its last byte left before the answer, and no more is known.
	if s.effect == trace.IdempotentByKey && s.memory > 0 && s.ranAt < call.At && e.At-s.ranAt > s.memory+memorySlack && call.At-s.ranAt <= s.memory+memorySlack {
		s.unsure("call %d to %s was made %.0f ms after one that may have run, and answered %.0f ms after it; its key is kept for %.0f ms: whether it "+
			"left in time does not show", e.Count, e.Endpoint, call.At-s.ranAt, e.At-s.ranAt, s.memory)
	}
}

func (s *stay) ended(e Logged) {
	switch {
	case s.end == "":
		s.end, s.endAt = e.Outcome, e.At
	case s.end == e.Outcome && s.restarted(s.endAt, e.At): // the process did not live to journal it
	default:
		s.fault(TwoEnds, e.At, "%s, and %s %.0f ms before", e.Outcome, s.end, e.At-s.endAt)
	}
	if late := s.due > 0 && e.At > s.due+endSlack; late && e.Outcome != trace.Withdrawn && !s.away(s.due+endSlack, e.At) {
		s.fault(LateEnd, e.At, "%s %.0f ms after its time was up", e.Outcome, e.At-s.due)
	}
}

// away tells whether the relay is excused at a time: from a stop, or the last line of a process that was killed, until it is
// ready again and a little more, and whether an end came within that.
func (s *stay) away(due, end float64) bool {
	for _, start := range s.process.starts {
		if start > s.first && end <= start+startSlack {
			return true
		}
	}
	return slices.ContainsFunc(s.process.stops, func(at float64) bool { return at <= due && !s.restarted(at, due) })
}

// close finds what is wrong at the end of the logs.
func (s *stay) close() {
	if s.taken && s.turned {
		s.unsure("taken on and refused: two hand-ins under one id")
	}
	switch {
	case !s.taken || s.end != "":
	case s.due == 0:
		s.unsure("no end, and no line tells when its time is up")
	case s.process.last < s.due+endSlack+startSlack || s.stopped():
		s.unsure("no end yet: the log ends %.0f ms before its time was up", max(0, s.due-s.process.last))
	default:
		s.fault(Lost, s.due, "taken on, and no end when its time was up")
	}
	if s.end == trace.Deferred || s.end == trace.Undeliverable {
		if s.noticed == 0 && s.process.last > s.endAt+endSlack && !s.stopped() {
			s.unsure("no line that the platform has its notice")
		}
	}
}

// stopped tells whether the last that is known of the relay is that it was to end.
func (s *stay) stopped() bool {
	n := len(s.process.stops)
	return n > 0 && !s.restarted(s.process.stops[n-1], s.process.last)
}
