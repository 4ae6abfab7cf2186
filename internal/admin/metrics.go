package admin

import (
	"encoding/json"
	"sync/atomic"
)

// Outcome is the kind of end that a message came to.
type Outcome int

// The ends of messages: each message stands under exactly one.
const (
	Success Outcome = iota // delivered
	Shed                   // refused, or handed back: it may be handed in again
	Failure                // failed
	ends                   // their number
)

// Snapshot are what the operators' door shows. All counts start at 0 with the process.
type Snapshot struct {
	Classes            []string // the names that the counts stand under
	Completed          [ends][]int64
	InFlight           int // messages taken on and not ended
	EndpointsListed    int
	EndpointsUnhealthy int // listed hosts that the relay avoids
	ReconfigOK         int
	ReconfigFailed     int
}

// form writes the figures as the operators read them; calls are those written whole to hosts.
func (f *Snapshot) form(calls int64) ([]byte, error) {
	by := func(end Outcome) map[string]int64 {
		counts := map[string]int64{}
		for i, name := range f.Classes {
			counts[name] = f.Completed[end][i]
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
	}{by(Success), by(Shed), by(Failure), calls, f.InFlight, f.EndpointsListed, f.EndpointsUnhealthy, f.ReconfigOK, f.ReconfigFailed})
}

// Metrics keeps the counts. One goroutine writes it, the relay's loop; Show hands a whole snapshot to readers, so that the
// figures of one read belong together and no reader waits for the loop.
type Metrics struct {
	// AttemptsSent counts messages written whole to hosts; the goroutines that make calls add to it.
	AttemptsSent atomic.Int64

	now   Snapshot
	index map[string]int
	shown atomic.Pointer[Snapshot]
}

// NewMetrics makes a book for the classes that the relay starts with.
func NewMetrics(classes []string) *Metrics {
	b := &Metrics{index: map[string]int{}}
	for _, name := range classes {
		b.class(name)
	}
	b.Publish(Gauges{})
	return b
}

// class gives the place of a class's counts. Classes are as many as settings ever named.
func (b *Metrics) class(name string) int {
	i, ok := b.index[name]
	if !ok {
		i = len(b.now.Classes)
		b.index[name] = i
		// The snapshots that readers hold keep the old lists.
		b.now.Classes = append(b.now.Classes[:i:i], name)
		for end := range b.now.Completed {
			b.now.Completed[end] = append(b.now.Completed[end], 0)
		}
	}
	return i
}

// AddClass has a class shown from now on, also while nothing is counted under it.
func (b *Metrics) AddClass(class string) { b.class(class) }

// Accepted counts a message as taken on, or as taken over from an earlier process.
func (b *Metrics) Accepted() { b.now.InFlight++ }

// Completed counts the end of a message; taken says that Taken counted it before.
func (b *Metrics) Completed(class string, end Outcome, taken bool) {
	i := b.class(class)
	b.now.Completed[end][i]++
	if taken {
		b.now.InFlight--
	}
}

// Withdrawn takes back Taken for a message that ended under no count, as one that its client has withdrawn.
func (b *Metrics) Withdrawn() { b.now.InFlight-- }

// HandedOver has the book hold nothing any more: another process counts what was under way. Readers go on seeing what there was
// when that was handed over, for the moment that this process still lives, which is far shorter than figures may lag:
// nothing in flight would be a lie about the relay until the other answers.
func (b *Metrics) HandedOver() { b.now.InFlight = 0 }

// Reconfigured counts a file that was taken, or turned down.
func (b *Metrics) Reconfigured(ok bool) {
	if ok {
		b.now.ReconfigOK++
	} else {
		b.now.ReconfigFailed++
	}
}

// Gauges are the figures that are not counted but read off.
type Gauges struct{ EndpointsListed, EndpointsUnhealthy int }

// Publish has readers see the counts as they stand.
func (b *Metrics) Publish(g Gauges) {
	shot := b.now
	shot.EndpointsListed, shot.EndpointsUnhealthy = g.EndpointsListed, g.EndpointsUnhealthy
	for end := range shot.Completed {
		shot.Completed[end] = append([]int64(nil), b.now.Completed[end]...)
	}
	b.shown.Store(&shot)
}

// Snapshot gives the latest snapshot.
func (b *Metrics) Snapshot() *Snapshot { return b.shown.Load() }

// JSON gives the latest snapshot in the form of the door.
func (b *Metrics) JSON() ([]byte, error) { return b.Snapshot().form(b.AttemptsSent.Load()) }
