package discovery

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mallowlead/internal/wait/waittest"
)

// newWatcher gives a watcher of a handler, which does not run yet and tells nobody.
func newWatcher(t *testing.T, silence time.Duration, serve http.HandlerFunc) *Watcher {
	t.Helper()
	s := httptest.NewServer(serve)
	w := NewWatcher(strings.TrimPrefix(s.URL, "http://"), func(Members, string) {}, func(int) {})
	w.silence, w.Seq = silence, 40
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return w
}

// watchOf follows a handler's watches and returns what the watcher tells.
func watchOf(t *testing.T, silence time.Duration, serve http.HandlerFunc) (*Watcher, chan Members, chan bool) {
	t.Helper()
	members, failed := make(chan Members, 10), make(chan bool, 10)
	w := newWatcher(t, silence, serve)
	w.told, w.failed = func(m Members, _ string) { members <- m }, func(int) { failed <- true }
	go w.Run(t.Context())
	w.Ask()
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
	if got := waittest.Receive(t, asked); got != "40" {
		t.Errorf("first index %s", got)
	}
	if m := waittest.Receive(t, members); m.Seq != 41 || !m.Whole {
		t.Errorf("told %+v", m)
	}
	waittest.Receive(t, failed)
	w.Ask()
	if got := waittest.Receive(t, asked); got != "41" {
		t.Errorf("second index %s", got)
	}
}

// A line that can't be read is skipped, and since what it held is missing the whole list is asked for.
func TestUnreadableLine(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchOf(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
		index := r.URL.Query().Get("index")
		asked <- index
		if index == "40" {
			_, _ = io.WriteString(rw, "{\"seq\":41,\n{\"seq\":42,\"hosts\":[]}\n")
			return
		}
		_, _ = io.WriteString(rw, `{"seq":43,"whole":true,"hosts":[]}`+"\n")
	})
	waittest.Receive(t, failed)
	w.Ask()
	if first, second := waittest.Receive(t, asked), waittest.Receive(t, asked); first != "40" || second != "0" {
		t.Errorf("indexes %s, %s", first, second)
	}
	if m := waittest.Receive(t, members); m.Seq != 43 {
		t.Errorf("told %+v", m)
	}
}

// While discovery is down it is asked again, not at once and not too late.
func TestWatchBacksOff(t *testing.T) {
	asked := make(chan time.Time, 10)
	w, _, failed := watchOf(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
		asked <- time.Now()
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	var times []time.Time
	for range 3 {
		waittest.Receive(t, failed)
		times = append(times, waittest.Receive(t, asked))
		w.Ask()
	}
	if gap := times[1].Sub(times[0]); gap < askAgain {
		t.Errorf("asked again after %v", gap)
	}
	if gap := times[2].Sub(times[1]); gap < askAgain {
		t.Errorf("then after %v", gap)
	}
}
