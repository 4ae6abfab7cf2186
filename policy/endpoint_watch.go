package policy

import "time"

// watchRetryDelay is the wait before a failed watch of the endpoint list is asked for again.
const watchRetryDelay = 500 * time.Millisecond

// retryWatch asks for another watch of the endpoint list after a delay.
func (d *Dispatcher) retryWatch() {
	if d.settings.WatchEndpoints {
		d.watchAt = d.now + watchRetryDelay
	}
}

// watchEndpoints asks for changes of the endpoint list where that is due.
func (d *Dispatcher) watchEndpoints() {
	if d.now >= d.watchAt {
		d.watchAt = never
		d.emit(WatchEndpoints{})
	}
}
