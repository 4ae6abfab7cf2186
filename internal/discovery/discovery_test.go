package discovery

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// newWatcher gives a watcher of a handler, which does not run yet and tells nobody.
func newWatcher(t *testing.T, silence time.Duration, serve http.HandlerFunc) *Watcher {
	t.Helper()
	s := httptest.NewServer(serve)
	w := NewWatcher(strings.TrimPrefix(s.URL, "http://"), func(EndpointList, string) {}, func(int) {})
	w.silence, w.Seq = silence, 40
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return w
}

// watchOf follows a handler's watches and returns what the watcher tells.
func watchOf(t *testing.T, silence time.Duration, serve http.HandlerFunc) (*Watcher, chan EndpointList, chan bool) {
	t.Helper()
	members, failed := make(chan EndpointList, 10), make(chan bool, 10)
	w := newWatcher(t, silence, serve)
	w.told, w.failed = func(m EndpointList, _ string) { members <- m }, func(int) { failed <- true }
	go w.Run(t.Context())
	w.Subscribe()
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
	if m := waittest.Receive(t, members); m.Seq != 41 || !m.Full {
		t.Errorf("told %+v", m)
	}
	waittest.Receive(t, failed)
	w.Subscribe()
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
	w.Subscribe()
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
		w.Subscribe()
	}
	if gap := times[1].Sub(times[0]); gap < askAgain {
		t.Errorf("asked again after %v", gap)
	}
	if gap := times[2].Sub(times[1]); gap < askAgain {
		t.Errorf("then after %v", gap)
	}
}

// A list that goes over several lines is read as one on a line. Before, it was taken for unreadable, and its watch ended.
func TestIndentedList(t *testing.T) {
	_, members, _ := watchOf(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, "\n{\n  \"seq\": 41,\n  \"whole\": true,\n  \"hosts\": [\n    {\"host\": \"h\"}\n  ]\n}\n\n{\"seq\":42}\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if m := waittest.Receive(t, members); m.Seq != 41 || !m.Full || len(m.Endpoints) != 1 {
		t.Errorf("told %+v", m)
	}
	if m := waittest.Receive(t, members); m.Seq != 42 {
		t.Errorf("then %+v", m)
	}
}

// A list cut in two is unreadable, one that is older than what is held is not believed, and one without end is not read to
// it: the whole list is asked for, and that is taken as it is.
func TestListsNotTaken(t *testing.T) {
	for name, first := range map[string]string{
		"cut in two":  "{\"seq\":41,\"who\nle\":true}\n",
		"older":       "{\"seq\":39,\"whole\":true,\"hosts\":[]}\n",
		"without end": "{\"seq\":41,\"hosts\":[" + strings.Repeat(`{"host":"h"},`, maxList/10),
	} {
		asked := make(chan string, 10)
		w, members, failed := watchOf(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
			index := r.URL.Query().Get("index")
			asked <- index
			if index == "40" {
				_, _ = io.WriteString(rw, first)
				return
			}
			_, _ = io.WriteString(rw, `{"seq":39,"whole":true,"hosts":[]}`+"\n")
		})
		waittest.Receive(t, failed)
		w.Subscribe()
		if a, b := waittest.Receive(t, asked), waittest.Receive(t, asked); a != "40" || b != "0" {
			t.Errorf("%s: indexes %s, %s", name, a, b)
		}
		if m := waittest.Receive(t, members); m.Seq != 39 {
			t.Errorf("%s: told %+v", name, m)
		}
	}
}

// Watches that fall silent at a whole fleet are opened anew within the clock of silence: 6 s after they fell silent, which
// is up to 2 s after their last byte, the module's pause before it asks again, and 1 s for the answer counted in.
func TestSilentFleetHearsInTime(t *testing.T) {
	const told, modulePause, answer = 6 * time.Second, 500 * time.Millisecond, time.Second
	for _, relays := range []int{1, 24, 300, 3000} {
		for seed := range int64(200) {
			s := NewSchedule(relays, seed)
			s.Start()
			for i := range 4 { // also several in a row
				if at := watchSilence + modulePause + s.AfterSilence() + answer; at > told {
					t.Fatalf("%d relays, silence %d: heard %v after the last byte", relays, i, at)
				}
			}
		}
	}
}

// Each watch that falls silent is followed by an ask without the back-off of failed ones, the first one of all as well.
func TestSilenceInARow(t *testing.T) {
	const relays = 3000
	seed := int64(0)
	for ; ; seed++ { // one whose first ask comes soon, and whose back-off outlasts what the test waits for
		s := NewSchedule(relays, seed)
		if s.Start() < time.Second/2 && s.Retry(0) > 0 && s.Retry(0) > 0 && s.Retry(0) > waittest.Long+waittest.Long/2 {
			break
		}
	}
	asked := make(chan bool, 10)
	w := newWatcher(t, 50*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) {
		asked <- true
		<-r.Context().Done() // no byte at all
	})
	w.ShareWith(relays, seed)
	w.failed = func(int) { w.Subscribe() }
	w.Subscribe()
	go w.Run(t.Context())
	for range 5 {
		waittest.Receive(t, asked)
	}
}
