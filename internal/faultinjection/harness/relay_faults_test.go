package harness

import (
	"fmt"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

const (
	// concurrentPlays is the number of runs that are played at once. More would make the harness late.
	concurrentPlays = 4
	// minWeightShare is the share of the weight delivered without faults that has to be delivered with them. Kills cost some
	// weight. A relay that mishandles a step of the wall clock loses more than half of the weight, which this bound detects.
	minWeightShare = 0.75
	// minWeightShareDiskErrors is the same share in runs in which nothing can be accepted for three of eight seconds.
	minWeightShareDiskErrors = 0.4
	// socketFaultStart is when system calls on sockets begin to fail, in seconds.
	socketFaultStart = 2
)

// faultScenario is the scenario of the runs with faults of relays. It has a class that is idempotent by key, a class that is not
// idempotent and an idempotent class. It has a destination without faults, a destination with an outage, during which relays hold
// messages, and a destination that resets connections.
const faultScenario = `version = 1
name = "faults"
length_s = 8
relays = 2

[relay]
ready_within_s = 3

[load]
rate = 30

[[class]]
name = "payment"
aim_s = 1.5
deadline_s = 3
effect = "keyed"
memory_s = 4
service_ms = 40

[[class]]
name = "order"
share = 0.4
aim_s = 1.5
deadline_s = 3
effect = "unsafe"
service_ms = 40

[[class]]
name = "status"
aim_s = 1.5
deadline_s = 3
effect = "safe"
service_ms = 40

[[partner]]
name = "well"
share = 1
endpoints = 2
slots = 8
queue = 50

[[partner]]
name = "out"
share = 1
endpoints = 2
slots = 8
queue = 50

[[partner]]
name = "breaks"
share = 0.5
endpoints = 2
slots = 8
queue = 50

[[event]]
at_s = 1.5
what = "refuse"
partner = "out"
for_s = 5

[[event]]
at_s = 2
what = "reset"
partner = "breaks"
share = 0.5
for_s = 5
`

// clockStep returns the fault that steps both relays' wall clocks.
func clockStep(at, seconds float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"clock_step\"\nby_s = %v\n", at, seconds)
}

// kill returns the fault that kills both relays, which are started again 0.6 s later.
func kill(at float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"kill\"\nback_s = 0.6\n", at)
}

// socketErrors returns the fault that makes a share of the system calls on sockets fail for 3 s.
func socketErrors(call, errno string, share float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"syscall_errors\"\nfor_s = 3\ncall = %q\nerrno = %q\nshare = %v\n",
		socketFaultStart, call, errno, share)
}

// diskErrors returns the fault that makes a share of the writes to the relays' folders fail.
func diskErrors(at, duration float64, errno string, share float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"disk_errors\"\nfor_s = %v\nerrno = %q\nshare = %v\n", at, duration, errno, share)
}

// A step of the wall clock, forward or back, breaks no rule, and makes a relay neither reject messages that it could deliver nor
// hold messages that are completed. The clock is stepped while the relay runs, while it is down, before a restart, and twice.
func TestRelay_ToleratesWallClockSteps(t *testing.T) {
	playAll(t, map[string]string{
		"forward by an hour":              clockStep(3, 3600),
		"back by an hour":                 clockStep(3, -3600),
		"forward by half of the deadline": clockStep(3, 1.5),
		"back by half of the deadline":    clockStep(3, -1.5),
		"forward and back":                clockStep(2.5, 3600) + clockStep(4.5, -3600),
		"forward while down":              kill(3) + clockStep(3.3, 3600),
		"back while down":                 kill(3) + clockStep(3.3, -3600),
		"forward before a restart":        clockStep(2.5, 60) + kill(4),
		"back before a restart":           clockStep(2.5, -60) + kill(4),
	}, minWeightShare)
}

// System calls on sockets that fail for a while break no rule and end no relay.
func TestRelay_ToleratesSocketErrors(t *testing.T) {
	cases := map[string]string{
		"wait EINTR":        socketErrors("wait", "EINTR", 0.5),
		"write short":       socketErrors("write", "SHORT", 0.5),
		"write ENOBUFS":     socketErrors("write", "ENOBUFS", 0.1),
		"write EINTR":       socketErrors("write", "EINTR", 0.5),
		"read EINTR":        socketErrors("read", "EINTR", 0.5),
		"read ENOMEM":       socketErrors("read", "ENOMEM", 0.1),
		"read short":        socketErrors("read", "SHORT", 0.5),
		"read ETIMEDOUT":    socketErrors("read", "ETIMEDOUT", 0.02),
		"read EHOSTUNREACH": socketErrors("read", "EHOSTUNREACH", 0.02),
	}
	for call, errnos := range map[string][]string{
		"accept": {
			"ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH",
			"EOPNOTSUPP", "ENETUNREACH", "ECONNABORTED", "ENFILE", "EMFILE",
		},
		"connect": {"ENOBUFS", "ENETUNREACH", "EADDRNOTAVAIL", "EAGAIN"},
		"socket":  {"ENOBUFS", "ENFILE"},
	} {
		for _, errno := range errnos {
			cases[call+" "+errno] = socketErrors(call, errno, 0.5)
		}
	}
	playAll(t, cases, minWeightShare)
}

// Writes to a relay's folder that fail for a while break no rule and end no relay, even if the relay is killed and started again
// meanwhile: accepted messages still get an outcome, and no message is sent to a destination without its journal record.
func TestRelay_ToleratesFolderErrors(t *testing.T) {
	playAll(t, map[string]string{
		"full":                          diskErrors(2, 3, "ENOSPC", 1),
		"full now and then":             diskErrors(2, 4, "ENOSPC", 0.5),
		"input/output errors":           diskErrors(2, 4, "EIO", 0.5),
		"torn writes":                   diskErrors(2, 4, "SHORT", 0.5) + diskErrors(2, 4, "EIO", 0.3),
		"read-only":                     diskErrors(2, 3, "EROFS", 1),
		"full, killed meanwhile":        diskErrors(2, 3, "ENOSPC", 1) + kill(3),
		"read-only, killed meanwhile":   diskErrors(2.5, 4.2, "EROFS", 1) + kill(2.6),
		"torn writes, killed meanwhile": diskErrors(2, 4, "SHORT", 0.5) + diskErrors(2, 4, "EIO", 0.3) + kill(3),
		"full and the clock steps back": diskErrors(2, 3, "ENOSPC", 0.7) + kill(3) + clockStep(3.3, -3600),
	}, minWeightShareDiskErrors)
}

// playAll plays the scenario with each of several lists of further faults, concurrentPlays at a time. No rule may be broken, no
// relay may end by itself, and a share of the weight delivered without these faults has to be delivered.
func playAll(t *testing.T, cases map[string]string, share float64) {
	t.Helper()
	program := buildRelay(t)
	slots := make(chan struct{}, concurrentPlays)
	baseline := playFaults(t, program, "")
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			result := playFaults(t, program, faults)
			for _, v := range result.Violations {
				t.Errorf("%+v", v)
			}
			for _, f := range result.Failures {
				t.Error(f)
			}
			if delivered, without := result.DeliveredWeight.Total, baseline.DeliveredWeight.Total; delivered < share*without {
				t.Errorf("delivered weight %.3f, without the faults %.3f", delivered, without)
			}
		})
	}
}

// playFaults plays the scenario with further faults.
func playFaults(t *testing.T, program, faults string) *Result {
	t.Helper()
	s, err := scenario.Parse("faults.toml", []byte(faultScenario+faults))
	if err != nil {
		t.Fatal(err)
	}
	return playConclusive(t, s, Options{Seed: 1, RelayCommand: []string{program}})
}
