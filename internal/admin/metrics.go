package admin

import (
	"encoding/json"
	"sync/atomic"
)

// End is the kind of end that a message came to.
type End int

// The ends of messages: each message stands under exactly one.
const (
	Success End = iota // delivered
	Busy               // refused, or handed back: it may be handed in again
	Failure            // failed
	ends               // their number
)

// Figures are what the operators' door shows. All counts start at 0 with the process.
type Figures struct {
	Classes        []string // the names that the counts stand under
	Ended          [ends][]int64
	Inflight       int // messages taken on and not ended
	HostsListed    int
	HostsDown      int // listed hosts that the relay avoids
	ReconfigOK     int
	ReconfigFailed int
}

// form writes the figures as the operators read them; calls are those written whole to hosts.
func (f *Figures) form(calls int64) ([]byte, error) {
	by := func(end End) map[string]int64 {
		counts := map[string]int64{}
		for i, name := range f.Classes {
			counts[name] = f.Ended[end][i]
		}
		return counts
	}
	return json.Marshal(struct {
		Success        map[string]int64 `json:"success"`
		Busy           map[string]int64 `json:"busy"`
		Failure        map[string]int64 `json:"failure"`
		BackendCalls   int64            `json:"backend_calls"`
		Inflight       int              `json:"inflight"`
		HostsListed    int              `json:"hosts_listed"`
		HostsDown      int              `json:"hosts_down"`
		ReconfigOK     int              `json:"reconfig_ok"`
		ReconfigFailed int              `json:"reconfig_failed"`
	}{by(Success), by(Busy), by(Failure), calls, f.Inflight, f.HostsListed, f.HostsDown, f.ReconfigOK, f.ReconfigFailed})
}

// Book keeps the counts. One goroutine writes it, the relay's loop; Show hands a whole snapshot to readers, so that the
// figures of one read belong together and no reader waits for the loop.
type Book struct {
	// Calls counts messages written whole to hosts; the goroutines that make calls add to it.
	Calls atomic.Int64

	now   Figures
	index map[string]int
	shown atomic.Pointer[Figures]
}

// NewBook makes a book for the classes that the relay starts with.
func NewBook(classes []string) *Book {
	b := &Book{index: map[string]int{}}
	for _, name := range classes {
		b.class(name)
	}
	b.Show(Gauges{})
	return b
}

// class gives the place of a class's counts. Classes are as many as settings ever named.
func (b *Book) class(name string) int {
	i, ok := b.index[name]
	if !ok {
		i = len(b.now.Classes)
		b.index[name] = i
		// The snapshots that readers hold keep the old lists.
		b.now.Classes = append(b.now.Classes[:i:i], name)
		for end := range b.now.Ended {
			b.now.Ended[end] = append(b.now.Ended[end], 0)
		}
	}
	return i
}

// Know has a class shown from now on, also while nothing is counted under it.
func (b *Book) Know(class string) { b.class(class) }

// Taken counts a message as taken on, or as taken over from an earlier process.
func (b *Book) Taken() { b.now.Inflight++ }

// Ended counts the end of a message; taken says that Taken counted it before.
func (b *Book) Ended(class string, end End, taken bool) {
	i := b.class(class)
	b.now.Ended[end][i]++
	if taken {
		b.now.Inflight--
	}
}

// Dropped takes back Taken for a message that ended under no count, as one that its client has withdrawn.
func (b *Book) Dropped() { b.now.Inflight-- }

// Given has the book hold nothing any more: another process counts what was under way. Readers go on seeing what there was
// when that was handed over, for the moment that this process still lives, which is far shorter than figures may lag:
// nothing in flight would be a lie about the relay until the other answers.
func (b *Book) Given() { b.now.Inflight = 0 }

// Reconfigured counts a file that was taken, or turned down.
func (b *Book) Reconfigured(ok bool) {
	if ok {
		b.now.ReconfigOK++
	} else {
		b.now.ReconfigFailed++
	}
}

// Gauges are the figures that are not counted but read off.
type Gauges struct{ HostsListed, HostsDown int }

// Show has readers see the counts as they stand.
func (b *Book) Show(g Gauges) {
	shot := b.now
	shot.HostsListed, shot.HostsDown = g.HostsListed, g.HostsDown
	for end := range shot.Ended {
		shot.Ended[end] = append([]int64(nil), b.now.Ended[end]...)
	}
	b.shown.Store(&shot)
}

// Read gives the latest snapshot.
func (b *Book) Read() *Figures { return b.shown.Load() }

// JSON gives the latest snapshot in the form of the door.
func (b *Book) JSON() ([]byte, error) { return b.Read().form(b.Calls.Load()) }
