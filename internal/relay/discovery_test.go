package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// hostLine is a change of one host, as a watch tells it.
func hostLine(t *testing.T, seq int64, m Member) string {
	t.Helper()
	line, err := json.Marshal(Members{Seq: seq, Hosts: []Member{m}})
	if err != nil {
		t.Fatal(err)
	}
	return string(line)
}

// A host that drains gets nothing new, and one that is not of a destination nothing at all.
func TestDrainedHost(t *testing.T) {
	p := newPlatform(t)
	old := p.addHost("h1", 7)
	p.start()
	p.take("status", "a", "20")
	p.called()
	old.Health = draining
	fresh := p.addHost("h2", 7)
	var hit string
	p.set(func() {
		p.answer = func(r *http.Request) int {
			hit = r.Host
			return http.StatusOK
		}
	})
	p.lines <- hostLine(t, 42, old)
	p.lines <- hostLine(t, 43, fresh)
	n := 0
	p.until("the new host is used", func() bool {
		n++
		p.take("status", "b"+strings.Repeat("b", n), "20")
		p.called()
		return hit == fresh.Dial
	})
	for range 5 {
		n++
		p.take("status", "b"+strings.Repeat("b", n), "20")
		if p.called(); hit != fresh.Dial {
			t.Fatal("a draining host got new work")
		}
	}
}

// receive waits for a value.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(long):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// A host that was told to drain gets nothing from the next process either, though the configuration's list is
// older than that and discovery is down.
func TestDrainToldBeforeRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.addHost("h1", 7)
	c := p.start()
	old.Health = draining
	p.lines <- hostLine(t, 42, old)
	p.until("the change is noted", func() bool {
		list, _ := readJournal(t, p.dir).Listed()
		return list != nil && list.Seq == 42
	})
	p.kill(c)
	p.set(func() { p.down = true })
	p.start()
	p.take("status", "m", "0.5")
	p.until("it has its end", func() bool { return len(p.told()) == 1 })
	if calls := p.sent(); len(calls) != 0 {
		t.Errorf("calls at a draining host: %v", calls)
	}
}

// watchOf follows a handler's watches and returns what the watcher tells.
func watchOf(t *testing.T, silence time.Duration, serve http.HandlerFunc) (*watcher, chan Members, chan bool) {
	t.Helper()
	s := httptest.NewServer(serve)
	members, failed := make(chan Members, 10), make(chan bool, 10)
	w := newWatcher(strings.TrimPrefix(s.URL, "http://"), func(m Members, _ string) { members <- m }, func() { failed <- true })
	w.silence, w.seq = silence, 40
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	go w.run(t.Context())
	w.ask()
	return w, members, failed
}

// A watch that goes silent is given up, and the next one asks from the last version that came.
func TestSilentWatch(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchOf(t, 300*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("index")
		_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[]}`+"\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if got := receive(t, asked); got != "40" {
		t.Errorf("first index %s", got)
	}
	if m := receive(t, members); m.Seq != 41 || !m.Whole {
		t.Errorf("told %+v", m)
	}
	receive(t, failed)
	w.ask()
	if got := receive(t, asked); got != "41" {
		t.Errorf("second index %s", got)
	}
}

// A line that can't be read is skipped, and since what it held is missing the whole list is asked for.
func TestUnreadableLine(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchOf(t, long, func(rw http.ResponseWriter, r *http.Request) {
		index := r.URL.Query().Get("index")
		asked <- index
		if index == "40" {
			_, _ = io.WriteString(rw, "{\"seq\":41,\n{\"seq\":42,\"hosts\":[]}\n")
			return
		}
		_, _ = io.WriteString(rw, `{"seq":43,"whole":true,"hosts":[]}`+"\n")
	})
	receive(t, failed)
	w.ask()
	if first, second := receive(t, asked), receive(t, asked); first != "40" || second != "0" {
		t.Errorf("indexes %s, %s", first, second)
	}
	if m := receive(t, members); m.Seq != 43 {
		t.Errorf("told %+v", m)
	}
}

// While discovery is down it is asked again, not at once and not too late.
func TestWatchBacksOff(t *testing.T) {
	asked := make(chan time.Time, 10)
	w, _, failed := watchOf(t, long, func(rw http.ResponseWriter, r *http.Request) {
		asked <- time.Now()
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	var times []time.Time
	for range 3 {
		receive(t, failed)
		times = append(times, receive(t, asked))
		w.ask()
	}
	if gap := times[1].Sub(times[0]); gap < askAgain {
		t.Errorf("asked again after %v", gap)
	}
	if gap := times[2].Sub(times[1]); gap < 2*askAgain {
		t.Errorf("then after %v", gap)
	}
}
