package policy

import "time"

// watchRetryDelay is the delay before another watch is requested after a watch of the endpoint list
// has failed.
const watchRetryDelay = 500 * time.Millisecond

// retryWatch schedules another watch of the endpoint list.
func (d *Dispatcher) retryWatch() {
	if d.settings.WatchEndpoints {
		d.watchAt = d.now + watchRetryDelay
	}
}

// watchEndpoints requests a watch of the endpoint list if one is due.
func (d *Dispatcher) watchEndpoints() {
	if d.now >= d.watchAt {
		d.watchAt = never
		d.emit(WatchEndpoints{})
	}
}
