package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestRecordFailure_UnhealthyAfterConsecutiveFailures guards against treating occasional failures
// as an outage.
func TestRecordFailure_UnhealthyAfterConsecutiveFailures(t *testing.T) {
	tests := []struct {
		outcome   Outcome
		n         int
		unhealthy bool
	}{{ConnectionReset, 3, false}, {ConnectionReset, 4, true}, {Failed, 3, false}, {ConnectError, 1, false}, {ConnectError, 2, true}}
	for _, tt := range tests {
		d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
		d.Handle(0, []Event{arrival("m", 0)})
		for i := range tt.n {
			d.Handle(time.Duration(i+1)*ms, []Event{
				AttemptEnded{ID: "m", Endpoint: "a", Attempt: i, Outcome: tt.outcome},
			})
		}
		if got := d.endpoints["a"].health.isUnhealthy(); got != tt.unhealthy {
			t.Errorf("%d attempts with outcome %d: unhealthy %v", tt.n, tt.outcome, got)
		}
	}
}

// TestUnhealthyEarly_FewTrialsInLargeFleet guards against hundreds of relays whose repeated trial
// requests overload a destination that recovers cold. The even share of 4 calls per second is 0.01
// for each of 400 relays, and 2 for each of 2 relays.
func TestUnhealthyEarly_FewTrialsInLargeFleet(t *testing.T) {
	for _, tt := range []struct {
		relays      int
		outcome     Outcome
		retryAfter  time.Duration
		least, most int // relays of 40 that mark the endpoint unhealthy after one failure
	}{
		{400, Rejected, 0, 10, 30},
		{400, ConnectError, 0, 10, 30},
		{400, Rejected, time.Second, 40, 40},
		{2, Rejected, 0, 0, 0},
		{2, ConnectError, 0, 0, 0},
	} {
		unhealthy := 0
		for seed := range int64(40) {
			s := testSettings()
			s.Instances, s.Weights = tt.relays, WeightsNominal
			d, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{
				EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a", Weight: 4}}},
				arrival("m", 0),
			})
			d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: tt.outcome, RetryAfter: tt.retryAfter}})
			if d.endpoints["a"].health.isUnhealthy() {
				unhealthy++
			}
			d.recordRejection(d.queues[0], false)
			if d.recordRejection(d.queues[0], false); tt.relays > 2 && !d.endpoints["a"].health.isUnhealthy() {
				t.Errorf("%d relays, outcome %d: not unhealthy after two more rejections", tt.relays, tt.outcome)
			}
		}
		if unhealthy < tt.least || unhealthy > tt.most {
			t.Errorf("%d relays, outcome %d, Retry-After %v: %d of 40 unhealthy", tt.relays, tt.outcome, tt.retryAfter, unhealthy)
		}
	}
}

// In a large fleet, consecutive failures to connect are counted across all endpoints of a
// destination, and more of them than unhealthyThreshold indicate an outage of the whole
// destination. Errors, late answers, a success between the failures, a small fleet and a single
// endpoint that is down do not.
func TestConnFailure_OutageOfAllEndpoints(t *testing.T) {
	for _, tt := range []struct {
		name      string
		relays    int
		weight    float64
		ends      string // outcomes of the calls: c connection refused, n connection timeout, e error, t answer timeout, o delivered
		unhealthy int    // unhealthy endpoints of eight
	}{
		{"as many failures as make one endpoint unhealthy", 300, 3000, "cc", 0},
		{"one failure more", 300, 3000, "ccc", 8},
		{"errors", 300, 3000, "eeeee", 0},
		{"connection timeouts", 300, 3000, "nnn", 8},
		{"late answers", 300, 3000, "ttttt", 0},
		{"a success between the failures", 300, 3000, "ccocc", 0},
		{"low traffic", 300, 120, "cc", 8},
		{"low traffic, one failure", 300, 120, "c", 0},
		{"small fleet, many calls per relay", 3, 3000, "ccccc", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := testSettings()
			s.Weights, s.Instances = WeightsNominal, tt.relays
			var eps []Endpoint
			for i := range 8 {
				eps = append(eps, Endpoint{ID: fmt.Sprint("e", i), Weight: tt.weight})
			}
			d := newDispatcher(t, s, eps...)
			d.queues[0].latency.mean = 0.3
			outcomes := map[rune]Outcome{'c': ConnectError, 'n': ConnectError, 'e': Failed, 't': TimedOut, 'o': Succeeded}
			now := time.Second
			for i, end := range tt.ends {
				id := fmt.Sprint("m", i)
				now += 2500 * ms
				actions := d.Handle(now, []Event{arrival(id, 0)})
				var to string
				for _, a := range actions {
					if send, ok := a.(Send); ok && send.ID == id {
						to = send.Endpoint
					}
				}
				if to == "" {
					t.Fatalf("%s was not sent: %v", id, actions)
				}
				latency := 40 * ms
				if end == 'n' {
					latency = time.Second
				}
				now += latency
				d.Handle(now, []Event{
					AttemptEnded{ID: id, Endpoint: to, Outcome: outcomes[end], Final: end == 'o', Latency: latency},
					MessageCanceled{ID: id},
				})
			}
			unhealthy := 0
			for _, ep := range d.endpoints {
				if ep.health.isUnhealthy() {
					unhealthy++
				}
			}
			if unhealthy != tt.unhealthy || d.UnhealthyEndpoints() != tt.unhealthy {
				t.Errorf("%d of eight endpoints unhealthy, want %d", unhealthy, tt.unhealthy)
			}
		})
	}

	// Only one of two endpoints is down: the other one answers and stays healthy.
	s := testSettings()
	s.Weights, s.Instances = WeightsNominal, 300
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 3000}, Endpoint{ID: "b", Weight: 3000})
	now := time.Second
	for i := range 12 {
		id := fmt.Sprint("m", i)
		now += 500 * ms
		d.endpoints["a"].classFailures[0] = 0 // otherwise b gets all messages of the class
		for _, a := range d.Handle(now, []Event{arrival(id, 0)}) {
			if send, ok := a.(Send); ok {
				end := AttemptEnded{ID: id, Endpoint: send.Endpoint, Outcome: ConnectError, Latency: 40 * ms}
				if send.Endpoint == "b" {
					end.Outcome, end.Final = Succeeded, true
				}
				now += 40 * ms
				d.Handle(now, []Event{end, MessageCanceled{ID: id}})
			}
		}
	}
	if !d.endpoints["a"].health.isUnhealthy() || d.endpoints["b"].health.isUnhealthy() {
		t.Errorf("a unhealthy: %v, b: %v", d.endpoints["a"].health.isUnhealthy(), d.endpoints["b"].health.isUnhealthy())
	}
}

// TestUnhealthyEarly_FewCallsWithoutListedWeight guards against an outage that goes undetected if
// no weight is listed. Without a listed weight, relays never treated their traffic as low and
// waited for four consecutive failures. Of thirty relays with one call every few seconds each, most
// never had four failures during an outage of ten seconds in which nearly all calls failed. They
// kept sending as to a healthy destination, and overloaded it with 3.8 times its capacity when it
// recovered cold. Found by: bench, site seedbank-lots, throng+brink+mass, seed 340045587386, in six
// runs of six.
func TestUnhealthyEarly_FewCallsWithoutListedWeight(t *testing.T) {
	for _, tt := range []struct {
		name        string
		interval    time.Duration // between calls
		least, most int           // relays of 40 that mark the destination unhealthy after three failures
	}{{"a call every four seconds", 4 * time.Second, 25, 40}, {"five calls per second", 200 * ms, 0, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			unhealthy := 0
			for seed := range int64(40) {
				s := testSettings()
				s.Instances, s.Weights = 32, WeightsOff
				d, err := New(s, seed)
				if err != nil {
					t.Fatal(err)
				}
				d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a"}}}})
				now := time.Duration(0)
				for i := range 100 {
					id := fmt.Sprint("m", i)
					d.Handle(now, []Event{arrival(id, 2)})
					now += tt.interval
					if i < 97 {
						d.Handle(now, []Event{delivered(id, "a")})
					} else {
						d.Handle(now, []Event{ended(id, Failed)})
					}
				}
				if d.endpoints["a"].health.isUnhealthy() {
					unhealthy++
				}
			}
			if unhealthy < tt.least || unhealthy > tt.most {
				t.Errorf("%d of 40 relays mark the destination unhealthy, want %d to %d", unhealthy, tt.least, tt.most)
			}
		})
	}
}
