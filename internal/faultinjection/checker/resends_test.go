package checker

import (
	"reflect"
	"testing"
	"time"
)

// resend notes a resend of the message that an id stands for, and its call.
func (n *notes) resend(at time.Duration, id string, class int, outcome string) {
	n.add(Event{At: at - ms, Kind: Redelivered, ID: id, Class: class})
	n.call(at, id, "h", outcome, ms)
}

// givenUp has a message taken on, called and given up.
func (n *notes) givenUp(id string, class int, outcome string) {
	n.take(sec, id, class)
	n.call(2*sec, id, "h", outcome, ms)
	n.notice(3*sec, id, Undeliverable)
}

func TestResendsKeepTheirClass(t *testing.T) {
	for name, c := range map[string]struct {
		rule Rule // empty: kept
		run  func(n *notes)
	}{
		"status that may have run":    {"", func(n *notes) { n.givenUp("a", status, Reset); n.resend(20*sec, "r", status, OK) }},
		"a payment that never ran":    {"", func(n *notes) { n.givenUp("a", payment, Rejected); n.resend(20*sec, "r", payment, OK) }},
		"a payment within its memory": {"", func(n *notes) { n.givenUp("a", payment, Reset); n.resend(7*sec, "r", payment, OK) }},
		"a payment past its memory":   {ExecutedTwice, func(n *notes) { n.givenUp("a", payment, Reset); n.resend(7100*ms, "r", payment, OK) }},
		"over two resends": {ExecutedTwice, func(n *notes) {
			n.givenUp("a", payment, Rejected)
			n.resend(20*sec, "r", payment, Abandoned)
			n.resend(30*sec, "s", payment, OK)
		}},
		"unsafe that may have run": {ExecutedTwice, func(n *notes) { n.givenUp("a", order, Error); n.resend(4*sec, "r", order, OK) }},
		"unsafe that never ran":    {"", func(n *notes) { n.givenUp("a", order, Rejected); n.resend(20*sec, "r", order, OK) }},
		"a payment that was delivered": {ExecutedTwice, func(n *notes) {
			n.take(sec, "a", payment)
			n.call(2*sec, "a", "h", OK, ms)
			n.resend(3*sec, "r", payment, OK)
		}},
		"status that was delivered": {"", func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.resend(3*sec, "r", status, OK)
		}},
		"while its first is out": {ConcurrentAttempts, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, 2*sec)
			n.resend(3*sec, "r", status, OK)
		}},
		"into a wait": {RetryAfterIgnored, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", RetryAfter, ms, wait(sec))
			n.notice(2100*ms, "a", Deferred)
			n.resend(2900*ms, "r", status, OK)
		}},
		"to a drained endpoint": {DrainBroken, func(n *notes) {
			n.told(Draining)
			n.take(sec, "a", status)
			n.notice(1500*ms, "a", Deferred)
			n.resend(9*sec, "r", status, OK)
		}},
	} {
		n := &notes{}
		n.add(Event{Kind: Ready})
		c.run(n)
		r := Judge(figures(), n.log, 60*sec)
		if c.rule == "" && len(r.Violations) > 0 || c.rule != "" && (len(r.Violations) != 1 || r.Violations[0].Rule != c.rule) {
			t.Errorf("%s: want %q, got %+v", name, c.rule, r.Violations)
		}
	}
}

// parcel notes a status of a parcel: the number is the message's, and of two the higher one is the newer.
func (n *notes) parcel(kind Kind, at time.Duration, id string, number int) {
	n.add(Event{At: at, Kind: kind, ID: id, Message: number, Class: status, Subject: "parcel-1", Duration: 30 * sec})
	if kind == Submitted {
		n.add(Event{At: at + ms, Kind: Answered, ID: id, Status: 202})
	}
}

func TestNewerStatusesAreNotOverwritten(t *testing.T) {
	newer := func(n *notes, number int) {
		n.parcel(Submitted, 4*sec, "new", number)
		n.call(5*sec, "new", "h", OK, ms)
	}
	resent := func(n *notes, outcome string) {
		n.parcel(Redelivered, 6*sec, "r", 3)
		n.call(6*sec+ms, "r", "h", outcome, ms)
	}
	for name, c := range map[string]struct {
		rule Rule
		run  func(n *notes)
	}{
		"a newer one was delivered":        {Overwritten, func(n *notes) { newer(n, 7); resent(n, OK) }},
		"and its answer did not come back": {Overwritten, func(n *notes) { newer(n, 7); resent(n, Abandoned) }},
		"it was turned away":               {"", func(n *notes) { newer(n, 7); resent(n, Rejected) }},
		"an older one was delivered":       {"", func(n *notes) { newer(n, 2); resent(n, OK) }},
		"a newer one came while it was out": {"", func(n *notes) {
			n.parcel(Redelivered, 3*sec, "r", 3)
			n.call(3*sec+ms, "r", "h", OK, 3*sec)
			newer(n, 7)
		}},
	} {
		n := &notes{}
		n.add(Event{Kind: Ready})
		n.parcel(StoredBefore, 0, "old", 3)
		c.run(n)
		r := Judge(figures(), n.log, 60*sec)
		if c.rule == "" && len(r.Violations) > 0 || c.rule != "" && (len(r.Violations) != 1 || r.Violations[0].Rule != c.rule) {
			t.Errorf("%s: want %q, got %+v", name, c.rule, r.Violations)
		}
	}
}

func TestStoresAreHeldAgainstTheLog(t *testing.T) {
	base := func() *notes {
		n := &notes{}
		n.add(Event{Kind: Ready})
		n.givenUp("a", payment, Rejected)
		n.givenUp("b", payment, Reset)
		n.add(Event{At: 2 * sec, Kind: Executed, ID: "b"})
		n.resend(20*sec, "r", payment, OK)
		for i := range n.log {
			if n.log[i].ID == "b" {
				n.log[i].Message = 1
			}
		}
		return n
	}
	whole := func() []DeadLetter {
		return []DeadLetter{
			{IDs: []string{"a", "r"}, State: "delivered", Reason: "delivered", NotExecuted: []string{"a"}},
			{IDs: []string{"b"}, State: "held", Reason: "may have run"},
		}
	}
	for name, c := range map[string]struct {
		rule   Rule
		change func(k []DeadLetter) []DeadLetter
		unkept []string
		states map[string]int
	}{
		"all is there":             {"", func(k []DeadLetter) []DeadLetter { return k }, nil, map[string]int{"delivered": 1, "held": 1}},
		"one is listed as lost":    {"", func(k []DeadLetter) []DeadLetter { return k[:1] }, []string{"b"}, map[string]int{"delivered": 1, "not kept": 1}},
		"one is missing":           {DeadLetterMissing, func(k []DeadLetter) []DeadLetter { return k[:1] }, nil, map[string]int{"delivered": 1}},
		"one is there twice":       {DeadLetterWrong, func(k []DeadLetter) []DeadLetter { return append(k, k[1]) }, nil, map[string]int{"delivered": 1, "held": 2}},
		"never run, but it did":    {DeadLetterWrong, func(k []DeadLetter) []DeadLetter { k[1].NotExecuted = []string{"b"}; return k }, nil, map[string]int{"delivered": 1, "held": 1}},
		"delivered, but it wasn't": {DeadLetterWrong, func(k []DeadLetter) []DeadLetter { k[1].State = "delivered"; return k }, nil, map[string]int{"delivered": 2}},
		"it was not given up": {DeadLetterWrong, func(k []DeadLetter) []DeadLetter {
			return append(k, DeadLetter{IDs: []string{"on"}, State: "held", Reason: "y"})
		}, nil, map[string]int{"delivered": 1, "held": 2}},
		"one of before is gone": {DeadLetterMissing, func(k []DeadLetter) []DeadLetter { return k }, nil, map[string]int{"delivered": 1, "held": 1}},
		"without a reason":      {DeadLetterWrong, func(k []DeadLetter) []DeadLetter { k[1].Reason = ""; return k }, nil, map[string]int{"delivered": 1, "held": 1}},
		"made up": {DeadLetterWrong, func(k []DeadLetter) []DeadLetter {
			return append(k, DeadLetter{IDs: []string{"x"}, State: "held", Reason: "y"})
		}, nil, map[string]int{"delivered": 1, "held": 2}},
	} {
		n := base()
		switch name {
		case "it was not given up":
			n.take(30*sec, "on", status)
			n.call(31*sec, "on", "h", OK, ms)
		case "one of before is gone":
			n.add(Event{Kind: StoredBefore, ID: "early", Message: 9})
		}
		r := Judge(figures(), n.log, 60*sec)
		if len(r.Violations) > 0 {
			t.Fatalf("%s: %+v", name, r.Violations)
		}
		states := r.CheckStores(figures(), n.log, c.change(whole()), c.unkept, 60*sec)
		if !reflect.DeepEqual(states, c.states) {
			t.Errorf("%s: states %v, want %v", name, states, c.states)
		}
		if c.rule == "" && len(r.Violations) > 0 || c.rule != "" && (len(r.Violations) != 1 || r.Violations[0].Rule != c.rule) {
			t.Errorf("%s: want %q, got %+v", name, c.rule, r.Violations)
		}
	}
}
