package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/faultinjection/faults"
)

// processTimeout is the time limit for steps that take a few seconds on an idle machine.
const processTimeout = 30 * time.Second

// service is a cluster of processes that run the real program.
type service struct {
	t        *testing.T
	program  string
	dir      string
	launcher *faults.Launcher
	members  []coord.Member
	running  map[uint64]*faults.Process
	caller   *api.Caller
}

func newService(t *testing.T, members int) *service {
	t.Helper()
	s := &service{t: t, dir: t.TempDir(), launcher: faults.NewLauncher(), running: map[uint64]*faults.Process{}, caller: api.NewCaller("c")}
	t.Cleanup(s.launcher.Close)
	s.program = filepath.Join(s.dir, "frostlink-coord")
	if out, err := exec.Command("go", "build", "-o", s.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for i := range members {
		s.members = append(s.members, coord.Member{ID: uint64(i + 1), Address: s.freeAddress()})
	}
	for _, m := range s.members {
		s.mustRun(s.initArgs(m.ID)...)
		s.start(m.ID)
	}
	return s
}

// freeAddress returns an address that nothing listens on.
func (s *service) freeAddress() string {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func (s *service) folder(id uint64) string  { return filepath.Join(s.dir, fmt.Sprint(id)) }
func (s *service) logFile(id uint64) string { return s.folder(id) + ".log" }

func (s *service) initArgs(id uint64) []string {
	args := []string{"init", "--folder", s.folder(id), "--cluster", "c", "--id", fmt.Sprint(id)}
	for _, m := range s.members {
		args = append(args, "--member", fmt.Sprintf("%d=%s", m.ID, m.Address))
	}
	return args
}

// mustRun runs the program to its end, and fails the test if its exit code is not 0.
func (s *service) mustRun(args ...string) {
	s.t.Helper()
	out, err := exec.Command(s.program, args...).CombinedOutput()
	if err != nil {
		s.t.Fatalf("%v: %v: %s", args, err, out)
	}
}

// start starts or restarts a member.
func (s *service) start(id uint64) {
	s.t.Helper()
	if s.running[id] == nil {
		s.running[id] = faults.NewProcess(fmt.Sprint("member-", id), s.logFile(id), s.launcher, s.program, "run", "--folder", s.folder(id))
	}
	if err := s.running[id].Start(); err != nil {
		s.t.Fatal(err)
	}
}

// callLeader sends a request to the current leader.
func (s *service) callLeader(path string, r api.Request) (api.Response, error) {
	ctx, stop := context.WithTimeout(s.t.Context(), processTimeout)
	defer stop()
	return s.caller.CallLeader(ctx, s.members, path, r)
}

// eventually waits until a condition holds, and fails the test if it does not within processTimeout.
func (s *service) eventually(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(processTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("did not happen within %v: %s\n%s", processTimeout, what, s.logs())
		}
	}
}

// logs returns the members' status and logs.
func (s *service) logs() string {
	var text strings.Builder
	for _, m := range s.members {
		raw, _ := os.ReadFile(s.logFile(m.ID))
		status, err := s.caller.Status(s.t.Context(), m.Address)
		fmt.Fprintf(&text, "member %d: %+v, %v\n%s", m.ID, status, err, raw)
	}
	return text.String()
}

// put opens a session and writes a value in it, by a command with the given sequence number.
func (s *service) put(seq uint64, key string) error {
	open, err := s.callLeader(api.PathCommand, api.Request{Command: &coord.Command{Op: coord.OpOpen, Nonce: "n", TTL: time.Minute}})
	if err != nil {
		return err
	}
	a, err := s.callLeader(api.PathCommand, api.Request{Command: &coord.Command{Op: coord.OpPut, Session: open.Result.Session, Seq: seq, Key: key}})
	if err == nil && a.Result.Code != coord.CodeOK {
		err = fmt.Errorf("%s: %s", key, a.Result.Code)
	}
	return err
}

// TestRun_ReplacesMemberWithLostDisk restarts a member with an empty disk under its old id, which is
// detected. Another member joins and becomes a voter, the first one is removed, and all values are
// kept.
func TestRun_ReplacesMemberWithLostDisk(t *testing.T) {
	s := newService(t, 3)
	if err := s.put(1, "before"); err != nil {
		t.Fatal(err)
	}
	s.eventually("all members have acknowledged one another", func() bool {
		for _, m := range s.members {
			status, err := s.caller.Status(s.t.Context(), m.Address)
			if err != nil {
				return false
			}
			for _, p := range status.Member.Peers {
				if !p.Acknowledged {
					return false
				}
			}
		}
		return true
	})
	if err := s.running[1].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(s.folder(1)); err != nil {
		t.Fatal(err)
	}
	s.mustRun(s.initArgs(1)...)
	s.start(1)
	s.eventually("the lost disk is noticed", func() bool {
		raw, _ := os.ReadFile(s.logFile(1))
		return strings.Contains(string(raw), "disk is old or was lost")
	})
	fourth := coord.Member{ID: 4, Address: s.freeAddress(), Learner: true}
	s.members = append(s.members[1:], fourth)
	s.mustRun("join", "--folder", s.folder(4), "--cluster", "c", "--member", "4="+fourth.Address, "--via", s.members[0].Address)
	s.start(4)
	for _, step := range []api.Request{{AddMember: &fourth}, {RemoveMember: 1}, {AddMember: &coord.Member{ID: 4, Address: fourth.Address}}} {
		s.eventually(fmt.Sprintf("%+v", step), func() bool { _, err := s.callLeader(api.PathMembers, step); return err == nil })
	}
	// The new member and one of the other two form a majority.
	if err := s.running[2].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := s.put(2, "after"); err != nil {
		t.Fatalf("%v\n%s", err, s.logs())
	}
	a, err := s.callLeader(api.PathRead, api.Request{Query: &api.Query{Values: "*"}})
	if err != nil || len(a.Values) != 2 {
		t.Errorf("read all values: %+v, error %v; want 2 values", a, err)
	}
}

// TestRun_KeepsValuesWhenAllAreKilled kills all members at once, and again while they start. All
// acknowledged values are kept.
func TestRun_KeepsValuesWhenAllAreKilled(t *testing.T) {
	s := newService(t, 3)
	for i := range 3 {
		if err := s.put(uint64(i+1), fmt.Sprint("k", i)); err != nil {
			t.Fatal(err)
		}
		for round := range 3 {
			for _, p := range s.running {
				if err := p.Kill(); err != nil {
					t.Fatal(err)
				}
			}
			for _, m := range s.members {
				s.start(m.ID)
			}
			time.Sleep(time.Duration(round) * 30 * time.Millisecond) // so that each round kills the members at another moment of their start
		}
	}
	a, err := s.callLeader(api.PathRead, api.Request{Query: &api.Query{Values: "*"}})
	if err != nil || len(a.Values) != 3 {
		t.Errorf("read all values: %+v, error %v; want 3 values", a, err)
	}
	for _, p := range s.running {
		if err := p.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range s.members {
		s.mustRun("verify", "--folder", s.folder(m.ID))
	}
}

// TestCommands_ReportBadInput checks that a command reports invalid input without a stack trace, and
// ends with the exit code that it documents.
func TestCommands_ReportBadInput(t *testing.T) {
	s := newService(t, 1)
	s.eventually("the member leads", func() bool { return s.put(1, "k") == nil })
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inUse.Close()
	other := filepath.Join(s.dir, "other")
	s.mustRun("init", "--folder", other, "--cluster", "c", "--id", "1", "--member", "1="+inUse.Addr().String())
	damaged := filepath.Join(s.dir, "damaged")
	s.mustRun("init", "--folder", damaged, "--cluster", "c", "--id", "1", "--member", "1=127.0.0.1:1")
	raw, err := os.ReadFile(filepath.Join(damaged, "coord.db"))
	if err != nil {
		t.Fatal(err)
	}
	raw[40] ^= 1
	if err := os.WriteFile(filepath.Join(damaged, "coord.db"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		args    []string
		code    int
		message string
	}{
		"no folder":             {[]string{"run"}, 2, "folder"},
		"an empty folder":       {[]string{"run", "--folder", s.dir}, 2, "no member's data"},
		"a folder in use":       {[]string{"run", "--folder", s.folder(1)}, 2, "in use"},
		"an address in use":     {[]string{"run", "--folder", other}, 2, "address already in use"},
		"a damaged folder":      {[]string{"run", "--folder", damaged}, 2, "damaged"},
		"verify damaged folder": {[]string{"verify", "--folder", damaged}, 1, "damaged"},
		"a folder that exists":  {s.initArgs(1), 2, "already"},
		"an even member count":  {append(s.initArgs(1), "--member", "2=127.0.0.1:1"), 2, "--member"},
		"no member at all":      {[]string{"init", "--folder", "x", "--cluster", "c", "--id", "1"}, 2, "--member"},
		"joins another cluster": {[]string{"join", "--folder", "x", "--cluster", "d", "--member", "4=127.0.0.1:1", "--via", s.members[0].Address}, 2, "cluster"},
		"an unknown flag":       {[]string{"run", "--fodler", "x"}, 2, "fodler"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(s.program, tt.args...)
			out, _ := cmd.CombinedOutput()
			text := strings.TrimSpace(string(out))
			if cmd.ProcessState.ExitCode() != tt.code || !strings.Contains(text, tt.message) || strings.Contains(text, "goroutine") {
				t.Errorf("exit code %d: %s", cmd.ProcessState.ExitCode(), text)
			}
		})
	}
}
