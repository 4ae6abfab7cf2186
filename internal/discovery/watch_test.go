package discovery

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// newTestWatcher returns a watcher of a discovery service that serve implements. It is not running,
// and its callbacks do nothing.
func newTestWatcher(t *testing.T, maxSilence time.Duration, serve http.HandlerFunc) *Watcher {
	t.Helper()
	s := httptest.NewServer(serve)
	w := NewWatcher(strings.TrimPrefix(s.URL, "http://"), func(EndpointList, string) {}, func(int) {})
	w.maxSilence, w.Seq = maxSilence, 40
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return w
}

// startWatcher runs a watcher of a discovery service that serve implements, with one subscription. It
// returns the reported lists and ends of watches.
func startWatcher(t *testing.T, maxSilence time.Duration, serve http.HandlerFunc) (w *Watcher, lists chan EndpointList, ends chan bool) {
	t.Helper()
	lists, ends = make(chan EndpointList, 10), make(chan bool, 10)
	w = newTestWatcher(t, maxSilence, serve)
	w.onList, w.onWatchEnd = func(list EndpointList, _ string) { lists <- list }, func(int) { ends <- true }
	go w.Run(t.Context())
	w.Subscribe()
	return w, lists, ends
}

// A watch that falls silent is ended, and the next one requests the changes after the last received
// list.
func TestWatcher_EndsSilentWatch(t *testing.T) {
	indexes := make(chan string, 10)
	w, lists, ends := startWatcher(t, 300*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
		indexes <- r.URL.Query().Get("index")
		_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[]}`+"\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if got := waittest.Receive(t, indexes); got != "40" {
		t.Errorf("first watch has index %s, want 40", got)
	}
	if list := waittest.Receive(t, lists); list.Seq != 41 || !list.Full {
		t.Errorf("reported %+v", list)
	}
	waittest.Receive(t, ends)
	w.Subscribe()
	if got := waittest.Receive(t, indexes); got != "41" {
		t.Errorf("second watch has index %s, want 41", got)
	}
}

// An unreadable list is skipped, and the next watch requests the whole list, since the content of the
// unreadable one is lost.
func TestWatcher_AsksForWholeListAfterUnreadableOne(t *testing.T) {
	indexes := make(chan string, 10)
	w, lists, ends := startWatcher(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
		index := r.URL.Query().Get("index")
		indexes <- index
		if index == "40" {
			_, _ = io.WriteString(rw, "{\"seq\":41,\n{\"seq\":42,\"hosts\":[]}\n")
			return
		}
		_, _ = io.WriteString(rw, `{"seq":43,"whole":true,"hosts":[]}`+"\n")
	})
	waittest.Receive(t, ends)
	w.Subscribe()
	if first, second := waittest.Receive(t, indexes), waittest.Receive(t, indexes); first != "40" || second != "0" {
		t.Errorf("indexes %s, %s", first, second)
	}
	if list := waittest.Receive(t, lists); list.Seq != 43 {
		t.Errorf("reported %+v", list)
	}
}

// While discovery is down, the watcher repeats its request after the backoff.
func TestWatcher_BacksOff(t *testing.T) {
	requested := make(chan time.Time, 10)
	w, _, ends := startWatcher(t, waittest.Long, func(rw http.ResponseWriter, _ *http.Request) {
		requested <- time.Now()
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	var times []time.Time
	for range 3 {
		waittest.Receive(t, ends)
		times = append(times, waittest.Receive(t, requested))
		w.Subscribe()
	}
	if gap := times[1].Sub(times[0]); gap < minBackoff {
		t.Errorf("second request too early, after %v", gap)
	}
	if gap := times[2].Sub(times[1]); gap < minBackoff {
		t.Errorf("third request too early, after %v", gap)
	}
}

// A list that is indented and spans several lines is read like one on a single line. The fault: such
// a list was unreadable and ended its watch.
func TestWatcher_ReadsIndentedList(t *testing.T) {
	_, lists, _ := startWatcher(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, "\n{\n  \"seq\": 41,\n  \"whole\": true,\n  \"hosts\": [\n    {\"host\": \"h\"}\n  ]\n}\n\n{\"seq\":42}\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if list := waittest.Receive(t, lists); list.Seq != 41 || !list.Full || len(list.Endpoints) != 1 {
		t.Errorf("reported %+v", list)
	}
	if list := waittest.Receive(t, lists); list.Seq != 42 {
		t.Errorf("second list %+v", list)
	}
}

// After a malformed, stale or endless list, the whole list is requested. The whole list is accepted
// whatever its sequence number is.
func TestWatcher_AsksForWholeListAfterBadOne(t *testing.T) {
	for name, first := range map[string]string{
		"line break in a key": "{\"seq\":41,\"who\nle\":true}\n",
		"stale":               "{\"seq\":39,\"whole\":true,\"hosts\":[]}\n",
		"endless":             "{\"seq\":41,\"hosts\":[" + strings.Repeat(`{"host":"h"},`, maxListSize/10),
	} {
		t.Run(name, func(t *testing.T) {
			indexes := make(chan string, 10)
			w, lists, ends := startWatcher(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
				index := r.URL.Query().Get("index")
				indexes <- index
				if index == "40" {
					_, _ = io.WriteString(rw, first)
					return
				}
				_, _ = io.WriteString(rw, `{"seq":39,"whole":true,"hosts":[]}`+"\n")
			})
			waittest.Receive(t, ends)
			w.Subscribe()
			if a, b := waittest.Receive(t, indexes), waittest.Receive(t, indexes); a != "40" || b != "0" {
				t.Errorf("indexes %s, %s", a, b)
			}
			if list := waittest.Receive(t, lists); list.Seq != 39 {
				t.Errorf("reported %+v", list)
			}
		})
	}
}

// maxTestEndpoints is the number of endpoints that a list may have in a test.
const maxTestEndpoints = 10

// Each error that ends a watch has its own value or type, and a message for logs.
func TestWatch_Errors(t *testing.T) {
	for _, tt := range []struct {
		name    string
		serve   http.HandlerFunc
		is      func(error) bool
		message string // empty: not checked, since it contains an address
	}{
		{
			"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			func(err error) bool { return errors.Is(err, ErrSilentWatch) }, "no data received within the silence timeout",
		},
		{
			"stale list", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, `{"seq":39}`) },
			func(err error) bool { return errors.Is(err, ErrStaleList) }, "received list is older than the current one",
		},
		{
			"list too large",
			func(rw http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(rw, strings.Repeat(" ", maxListSize+1))
			},
			func(err error) bool {
				return errors.Is(err, ErrListTooLarge) && errors.As(err, new(*UnreadableListError))
			},
			"unreadable list: list larger than 1048576 bytes",
		},
		{
			"too many endpoints",
			func(rw http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[`+strings.Repeat(`{},`, maxTestEndpoints)+`{}]}`)
			},
			func(err error) bool {
				return errors.Is(err, ErrTooManyEndpoints) && errors.As(err, new(*UnreadableListError))
			},
			"unreadable list: list has more endpoints than this relay may hold",
		},
		{
			"hosts are no array",
			func(rw http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":{"host":"h"}}`)
			},
			func(err error) bool { return errors.As(err, new(*UnreadableListError)) }, "",
		},
		{
			"not JSON", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "what?") },
			func(err error) bool { return errors.As(err, new(*UnreadableListError)) },
			"unreadable list: invalid character 'w' looking for beginning of value",
		},
		{
			"closed", func(http.ResponseWriter, *http.Request) {},
			func(err error) bool { return errors.Is(err, ErrWatchClosed) }, "discovery closed the watch",
		},
		{
			"status", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) },
			func(err error) bool { return errors.As(err, new(*StatusError)) }, "discovery responded with status 503 Service Unavailable",
		},
		{
			"truncated", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, `{"seq":`) },
			func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }, "",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			maxSilence := waittest.Long
			if tt.name == "silent" {
				maxSilence = 50 * time.Millisecond
			}
			w := newTestWatcher(t, maxSilence, tt.serve)
			w.MaxEndpoints = maxTestEndpoints
			_, err := w.watch(t.Context())
			if !tt.is(err) {
				t.Errorf("unexpected error %v", err)
			}
			if tt.message != "" && fmt.Sprint(err) != tt.message {
				t.Errorf("message %q, want %q", fmt.Sprint(err), tt.message)
			}
		})
	}
}

// A second copy of a list changes nothing, and a copy of an older list ends the watch: the next one requests the whole list. No list
// is reported that is older than the one in force.
func TestWatcher_CopiedListsDoNotReplaceNewerOnes(t *testing.T) {
	indexes := make(chan string, 10)
	_, lists, ends := startWatcher(t, waittest.Long, func(rw http.ResponseWriter, r *http.Request) {
		indexes <- r.URL.Query().Get("index")
		for _, seq := range []int{41, 41, 42, 41, 43} {
			_, _ = fmt.Fprintf(rw, "{\"seq\":%d,\"whole\":false,\"hosts\":[]}\n", seq)
			rw.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	})
	waittest.Receive(t, indexes)
	for _, want := range []int64{41, 41, 42} {
		if list := waittest.Receive(t, lists); list.Seq != want {
			t.Errorf("reported list %d, want %d", list.Seq, want)
		}
	}
	waittest.Receive(t, ends)
	if len(lists) > 0 {
		t.Errorf("reported %+v after a copy of an older list", <-lists)
	}
}
