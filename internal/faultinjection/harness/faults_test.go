package harness

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

// faultScript is what relays are played against into which faults are injected: an unsafe, a keyed and a safe class, a partner that
// is out for a while so that messages are held, and one whose answers get lost.
const faultScript = `version = 1
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

// step is the event that steps both relays' clocks.
func step(at, by float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"clock_step\"\nby_s = %v\n", at, by)
}

// kill is the event that kills both relays; they are back 0.6 s later.
func kill(at float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"kill\"\nback_s = 0.6\n", at)
}

// A step of the wall clock, either way, breaks no rule and has a relay neither reject what it could deliver nor hold what is
// over: under a running process, while none runs, before a restart and twice.
func TestWallClockSteps(t *testing.T) {
	playAll(t, map[string]string{
		"forward by an hour":             step(3, 3600),
		"back by an hour":                step(3, -3600),
		"forward by less than a message": step(3, 1.5),
		"back by less than a message":    step(3, -1.5),
		"there and back":                 step(2.5, 3600) + step(4.5, -3600),
		"forward while down":             kill(3) + step(3.3, 3600),
		"back while down":                kill(3) + step(3.3, -3600),
		"forward before a restart":       step(2.5, 60) + kill(4),
		"back before a restart":          step(2.5, -60) + kill(4),
	}, worthKept)
}

// calls is the event that has system calls on sockets fail for 3 s.
func calls(at float64, call, errno string, share float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"syscall_errors\"\nfor_s = 3\ncall = %q\nerrno = %q\nshare = %v\n", at, call, errno, share)
}

// disk is the event that has writes to the relays' folders fail.
func disk(at, lasts float64, errno string, share float64) string {
	return fmt.Sprintf("\n[[event]]\nat_s = %v\nwhat = \"disk_errors\"\nfor_s = %v\nerrno = %q\nshare = %v\n", at, lasts, errno, share)
}

// System calls on sockets that fail in passing break no rule and end no relay.
func TestSocketErrors(t *testing.T) {
	cases := map[string]string{
		"wait EINTR":        calls(2, "wait", "EINTR", 0.5),
		"write short":       calls(2, "write", "SHORT", 0.5),
		"write ENOBUFS":     calls(2, "write", "ENOBUFS", 0.1),
		"write EINTR":       calls(2, "write", "EINTR", 0.5),
		"read EINTR":        calls(2, "read", "EINTR", 0.5),
		"read ENOMEM":       calls(2, "read", "ENOMEM", 0.1),
		"read short":        calls(2, "read", "SHORT", 0.5),
		"read ETIMEDOUT":    calls(2, "read", "ETIMEDOUT", 0.02),
		"read EHOSTUNREACH": calls(2, "read", "EHOSTUNREACH", 0.02),
	}
	for _, errno := range []string{
		"ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH",
		"EOPNOTSUPP", "ENETUNREACH", "ECONNABORTED", "ENFILE", "EMFILE",
	} {
		cases["accept "+errno] = calls(2, "accept", errno, 0.5)
	}
	for _, errno := range []string{"ENOBUFS", "ENETUNREACH", "EADDRNOTAVAIL", "EAGAIN"} {
		cases["connect "+errno] = calls(2, "connect", errno, 0.5)
	}
	for _, errno := range []string{"ENOBUFS", "ENFILE"} {
		cases["socket "+errno] = calls(2, "socket", errno, 0.5)
	}
	playAll(t, cases, worthKept)
}

// A folder whose writes fail for a while breaks no rule and ends no relay, also when it is killed and started meanwhile: what was
// accepted stays owed, and nothing leaves without its record.
func TestFolderErrors(t *testing.T) {
	playAll(t, map[string]string{
		"full":                          disk(2, 3, "ENOSPC", 1),
		"full now and then":             disk(2, 4, "ENOSPC", 0.5),
		"input/output errors":           disk(2, 4, "EIO", 0.5),
		"torn writes":                   disk(2, 4, "SHORT", 0.5) + disk(2, 4, "EIO", 0.3),
		"read-only":                     disk(2, 3, "EROFS", 1),
		"full, killed meanwhile":        disk(2, 3, "ENOSPC", 1) + kill(3),
		"read-only, killed meanwhile":   disk(2.5, 4.2, "EROFS", 1) + kill(2.6),
		"torn, killed meanwhile":        disk(2, 4, "SHORT", 0.5) + disk(2, 4, "EIO", 0.3) + kill(3),
		"full and the clock steps back": disk(2, 3, "ENOSPC", 0.7) + kill(3) + step(3.3, -3600),
	}, worthKeptByFolder)
}

// playAll plays the script with each of several lists of events, some side by side: no rule may break, no relay end, and a share of
// the worth without the events be kept.
func playAll(t *testing.T, cases map[string]string, kept float64) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "frostlink/cmd/frostlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	command := []string{filepath.Join(dir, "frostlink")}
	places := make(chan struct{}, sideBySide)
	baseline := playFaults(t, command, "")
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			res := playFaults(t, command, events)
			for _, b := range res.Violations {
				t.Errorf("%+v", b)
			}
			for _, f := range res.Failures {
				t.Error(f)
			}
			if served, least := res.DeliveredWeight.Total, kept*baseline.DeliveredWeight.Total; served < least {
				t.Errorf("served %.3f, and %.3f without a fault", served, baseline.DeliveredWeight.Total)
			}
		})
	}
}

// sideBySide runs are played at once: more would make the machine late.
const sideBySide = 4

// worthKept is the share of the worth without a step that is to be served with one. Kills cost some; what a stepped clock cost
// was more than half.
const worthKept = 0.75

// worthKeptByFolder is the same where nothing can be accepted for three of eight seconds.
const worthKeptByFolder = 0.4

// playFaults plays the script with further events, again where the machine was too busy for the run to say anything.
func playFaults(t *testing.T, command []string, events string) *Result {
	t.Helper()
	s, err := scenario.Parse("faults.toml", []byte(faultScript+events))
	if err != nil {
		t.Fatal(err)
	}
	return playScript(t, s, Options{Seed: 1, RelayCommand: command})
}

// playScript plays a script, again where the machine was too busy for the run to say anything.
func playScript(t *testing.T, s *scenario.Scenario, o Options) *Result {
	t.Helper()
	var res *Result
	for range 3 {
		var err error
		if res, err = Run(t.Context(), s, o); err != nil {
			t.Fatal(err)
		}
		if !res.Void {
			return res
		}
	}
	t.Fatalf("the machine was too busy: %.2f%% of events late", 100*res.LateShare)
	return nil
}
