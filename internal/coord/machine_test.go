package coord

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// log builds the log of a machine: it applies each command in an entry of its own.
type log struct {
	tb    testing.TB
	m     *Machine
	index uint64
	seq   map[uint64]uint64 // last sequence number by session
}

func newLog(tb testing.TB) *log {
	tb.Helper()
	return &log{tb: tb, m: New("c"), seq: map[uint64]uint64{}}
}

// apply applies a command unchanged, after some time has elapsed.
func (l *log) apply(elapsed time.Duration, c Command) Result {
	l.tb.Helper()
	l.index++
	e, err := DecodeEntry(Entry{Elapsed: elapsed, Commands: []Command{c}}.Encode())
	if err != nil {
		l.tb.Fatal(err)
	}
	return l.m.Apply(l.index, e)[0]
}

func (l *log) open(name string) uint64 {
	l.tb.Helper()
	return l.apply(time.Millisecond, Command{Op: OpOpen, Nonce: name, Name: name, TTL: time.Second}).Session
}

// next applies a command of a session under its next sequence number, after 1 ms has elapsed.
func (l *log) next(session uint64, c Command) Result {
	l.tb.Helper()
	l.seq[session]++
	c.Session, c.Seq = session, l.seq[session]
	return l.apply(time.Millisecond, c)
}

func (l *log) holder(lease string) string {
	for _, view := range l.m.Leases(lease) {
		if view.Name == lease {
			return view.Holder
		}
	}
	return ""
}

func TestMachine_GrantsLeaseToNextInQueue(t *testing.T) {
	tests := map[string]struct {
		run   func(l *log, a, b, c uint64)
		want  string
		event EventKind
	}{
		"released":                                    {func(l *log, a, _, _ uint64) { l.next(a, Command{Op: OpRelease, Lease: "x", Token: 1}) }, "b", "released"},
		"released under another token":                {func(l *log, a, _, _ uint64) { l.next(a, Command{Op: OpRelease, Lease: "x", Token: 7}) }, "a", "granted"},
		"transferred by name":                         {func(l *log, a, _, _ uint64) { l.next(a, Command{Op: OpTransfer, Lease: "x", Token: 1, To: "c"}) }, "c", "handed over"},
		"transferred to a session that is not queued": {func(l *log, a, _, _ uint64) { l.next(a, Command{Op: OpTransfer, Lease: "x", Token: 1, To: "d"}) }, "a", "granted"},
		"released by a session that does not hold it": {func(l *log, _, b, _ uint64) { l.next(b, Command{Op: OpRelease, Lease: "x", Token: 1}) }, "a", "granted"},
		"closed": {func(l *log, a, _, _ uint64) { l.apply(0, Command{Op: OpClose, Session: a}) }, "b", "closed"},
		"first in the queue leaves it": {func(l *log, a, b, _ uint64) {
			l.next(b, Command{Op: OpRelease, Lease: "x"})
			l.next(a, Command{Op: OpRelease, Lease: "x", Token: 1})
		}, "c", "released"},
		"holder and first in the queue expire in one entry": {func(l *log, _, _, c uint64) {
			l.apply(900*time.Millisecond, Command{Op: OpRenew, Session: c})
			l.apply(200*time.Millisecond, Command{Op: OpRenew, Session: c})
		}, "c", "ended"},
		"renewed": {func(l *log, a, b, c uint64) {
			for range 5 {
				for _, id := range []uint64{a, b, c} {
					l.apply(250*time.Millisecond, Command{Op: OpRenew, Session: id})
				}
			}
		}, "a", "granted"},
		"revoked, before the deadline of its holder": {func(l *log, a, b, c uint64) {
			l.next(c, Command{Op: OpRevoke, Lease: "x", Token: 1})
			l.apply(900*time.Millisecond, Command{Op: OpRenew, Session: a})
			l.apply(0, Command{Op: OpRenew, Session: b})
		}, "a", "being revoked"},
		"revoked, past the deadline of its holder": {func(l *log, a, b, c uint64) {
			l.next(c, Command{Op: OpRevoke, Lease: "x", Token: 1})
			for _, id := range []uint64{a, b, c, a} {
				l.apply(300*time.Millisecond, Command{Op: OpRenew, Session: id})
			}
		}, "b", "revoked"},
		"revoked and released": {func(l *log, a, _, c uint64) {
			l.next(c, Command{Op: OpRevoke, Lease: "x", Token: 1})
			l.next(a, Command{Op: OpRelease, Lease: "x", Token: 1})
		}, "b", "released"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			a, b, c := l.open("a"), l.open("b"), l.open("c")
			for _, id := range []uint64{a, b, c} {
				l.next(id, Command{Op: OpAcquire, Lease: "x"})
			}
			tt.run(l, a, b, c)
			if got := l.holder("x"); got != tt.want {
				t.Errorf("held by %q, want %q", got, tt.want)
			}
			var event EventKind
			for _, e := range l.m.History("x") {
				if e.Kind != EventGranted || event == "" {
					event = e.Kind
				}
			}
			if event != tt.event {
				t.Errorf("last event %q, want %q", event, tt.event)
			}
		})
	}
}

func TestMachine_AppliesRetriedCommandOnce(t *testing.T) {
	l := newLog(t)
	a := l.open("a")
	if retried := l.apply(0, Command{Op: OpOpen, Nonce: "a", Name: "a", TTL: time.Second}); retried.Session != a {
		t.Errorf("a retried open opened session %d in addition to session %d", retried.Session, a)
	}
	put := Command{Op: OpPut, Session: a, Seq: 1, Key: "k", Value: []byte("1")}
	first := l.apply(0, put)
	if retried := l.apply(0, put); first.Code != CodeOK || retried.Code != CodeOK || retried.ModRevision != first.ModRevision {
		t.Errorf("first result %+v, result of the retry %+v", first, retried)
	}
	l.apply(0, Command{Op: OpPut, Session: a, Seq: 2, Key: "k", Value: []byte("2"), ExpectedRevision: first.ModRevision})
	if stale := l.apply(0, put); stale.Code != CodeStale {
		t.Errorf("a command with an earlier sequence number: %+v", stale)
	}
	if v := l.m.Values("k"); len(v) != 1 || string(v[0].Value) != "2" {
		t.Errorf("unexpected values: %+v", v)
	}
}

func TestMachine_RejectsPutUnderOldToken(t *testing.T) {
	l := newLog(t)
	a, b := l.open("a"), l.open("b")
	token := l.next(a, Command{Op: OpAcquire, Lease: "x"}).Token
	l.next(b, Command{Op: OpAcquire, Lease: "x"})
	put := Command{Op: OpPut, Key: "k", Lease: "x", Token: token}
	if r := l.next(a, put); r.Code != CodeOK {
		t.Fatalf("put by the holder: %+v", r)
	}
	l.next(a, Command{Op: OpRelease, Lease: "x", Token: token})
	put.ExpectedRevision = l.m.Revision()
	if r := l.next(a, put); r.Code != CodeNotHeld {
		t.Errorf("put by the previous holder: %+v", r)
	}
	if r := l.next(b, put); r.Code != CodeNotHeld {
		t.Errorf("put by the holder under the previous token: %+v", r)
	}
}

func TestMachine_EnforcesLimits(t *testing.T) {
	l := newLog(t)
	a, b := l.open("a"), l.open("b")
	var r Result
	for i := 0; i < MaxLeasesPerSession; i++ {
		if r = l.next(a, Command{Op: OpAcquire, Lease: fmt.Sprint(i)}); r.Code != CodeOK {
			t.Fatalf("acquire lease %d: %+v", i, r)
		}
		l.apply(0, Command{Op: OpRenew, Session: b})
	}
	limited := map[string]Result{"leases of a session": l.next(a, Command{Op: OpAcquire, Lease: "more"})}
	big := bytes.Repeat([]byte{1}, MaxValueSize)
	for i := 0; i < MaxValueBytes/MaxValueSize; i++ {
		if r = l.next(a, Command{Op: OpPut, Key: fmt.Sprint(i), Value: big}); r.Code != CodeOK {
			t.Fatalf("put value %d: %+v", i, r)
		}
	}
	limited["bytes"] = l.next(a, Command{Op: OpPut, Key: "more", Value: []byte{1}})
	for i := 2; i < MaxSessions; i++ {
		l.apply(0, Command{Op: OpOpen, Nonce: fmt.Sprint("n", i), TTL: time.Minute})
	}
	limited["sessions"] = l.apply(0, Command{Op: OpOpen, Nonce: "more", TTL: time.Minute})
	for name, r := range limited {
		if r.Code != CodeLimitExceeded || r.Detail == "" {
			t.Errorf("%s: %+v", name, r)
		}
	}
	for name, c := range map[string]Command{
		"a long key":   {Op: OpPut, Session: a, Seq: 1 << 20, Key: strings.Repeat("k", MaxNameSize+1)},
		"a long value": {Op: OpPut, Session: a, Seq: 1 << 20, Key: "k", Value: append(big, 1)}, "no sequence number": {Op: OpAcquire, Session: a, Lease: "x"},
		"no operation": {Session: a, Seq: 1 << 20}, "a short session": {Op: OpOpen, Nonce: "n", TTL: time.Millisecond},
	} {
		if r := l.apply(0, c); r.Code != CodeInvalid || r.Detail == "" {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

func TestMachine_ReportsCompactedChanges(t *testing.T) {
	l := newLog(t)
	a := l.open("a")
	var version uint64
	for range 3 * MaxRetainedChanges {
		version = l.next(a, Command{Op: OpPut, Key: "k", ExpectedRevision: version}).ModRevision
	}
	if list, ok := l.m.Changes(version-1, "k"); !ok || len(list) != 1 || list[0].Revision != version {
		t.Errorf("changes after the second-to-last revision: %v, %v", list, ok)
	}
	if _, ok := l.m.Changes(1, "k"); ok {
		t.Error("changes that were dropped are reported as retained")
	}
	restored, err := Restore(l.m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := restored.Changes(version-1, "k"); ok {
		t.Error("changes from before the snapshot are reported as retained")
	}
}

// TestMachine_InvariantsOfAnyLog applies random logs. A machine that is restored from a snapshot
// must behave like the original, tokens must only grow, and every holder and queued request must
// have a session. No session may be in a queue twice, and nothing may be overdue to expire.
func TestMachine_InvariantsOfAnyLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, index, last := New("c"), uint64(0), uint64(0)
		name := rapid.SampledFrom([]string{"x", "y", "z"})
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			e := Entry{Elapsed: time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond}
			if rapid.IntRange(0, 20).Draw(t, "begin") == 0 {
				e.NewTerm = 1
			}
			for range rapid.IntRange(0, 3).Draw(t, "commands") {
				e.Commands = append(e.Commands, Command{
					Op:      rapid.SampledFrom([]Op{OpOpen, OpRenew, OpRenew, OpClose, OpAcquire, OpAcquire, OpAcquire, OpRelease, OpTransfer, OpRevoke, OpPut, OpDelete}).Draw(t, "op"),
					Session: rapid.Uint64Range(1, 5).Draw(t, "session"), Seq: rapid.Uint64Range(1, 30).Draw(t, "seq"),
					Nonce: name.Draw(t, "nonce"), Name: name.Draw(t, "name"), TTL: time.Second, Lease: name.Draw(t, "lease"),
					Token: rapid.Uint64Range(0, 12).Draw(t, "token"), To: name.Draw(t, "to"), Key: name.Draw(t, "key"),
					ExpectedRevision: rapid.Uint64Range(0, 4).Draw(t, "expect"),
				})
			}
			index++
			restored, err := Restore(m.Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			m.Apply(index, e)
			restored.Apply(index, e)
			if !bytes.Equal(m.Snapshot(), restored.Snapshot()) {
				t.Fatalf("state of the restored machine:\n%s\nof the original:\n%s", restored.Snapshot(), m.Snapshot())
			}
			if next := m.NextExpiry(); next <= 0 {
				t.Fatalf("a session or grant should have expired %v ago", -next)
			}
			if m.lastToken < last {
				t.Fatalf("the last token decreased from %d to %d", last, m.lastToken)
			}
			last = m.lastToken
			queued := 0
			for _, l := range m.Leases("") { // panics if a holder or queued request has no session
				seen := map[uint64]bool{}
				for _, q := range m.leases[l.Name].Queue {
					if seen[q.Session] {
						t.Fatalf("session %d is queued twice for %s", q.Session, l.Name)
					}
					seen[q.Session] = true
				}
				queued += len(l.Queue)
			}
			if queued != m.queuedRequests {
				t.Fatalf("%d requests are queued, but %d are counted", queued, m.queuedRequests)
			}
		}
	})
}

func FuzzRestore(f *testing.F) {
	f.Add(New("c").Snapshot())
	f.Add([]byte(`{"version":1,"opened":1,"tokens":1,"sessions":[{"id":1}],"leases":[{"name":"x","holder":1,"token":1,"queue":[{"session":1}]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Restore(raw)
		if err != nil {
			return
		}
		m.Apply(m.index+1, Entry{Elapsed: time.Hour}) // must not panic: all sessions end
		if _, err := Restore(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add(Entry{Commands: []Command{{Op: OpAcquire, Session: 1, Seq: 1, Lease: "x"}}}.Encode())
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := DecodeEntry(raw)
		if err != nil {
			return
		}
		l := newLog(t)
		l.open("a")
		l.m.Apply(2, e) // must not panic
	})
}
