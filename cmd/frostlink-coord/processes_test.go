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

// service is members of the real program.
type service struct {
	t        *testing.T
	program  string
	dir      string
	launcher *faults.Launcher
	members  []coord.Member
	running  map[uint64]*faults.Process
	caller   *api.Caller
}

func newService(t *testing.T, n int) *service {
	s := &service{t: t, dir: t.TempDir(), launcher: faults.NewLauncher(), running: map[uint64]*faults.Process{}, caller: api.NewCaller("c")}
	t.Cleanup(s.launcher.Close)
	s.program = filepath.Join(s.dir, "frostlink-coord")
	if out, err := exec.Command("go", "build", "-o", s.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for i := range n {
		s.members = append(s.members, coord.Member{ID: uint64(i + 1), Address: s.address()})
	}
	for _, m := range s.members {
		s.must(s.initArgs(m.ID)...)
		s.run(m.ID)
	}
	return s
}

func (s *service) address() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (s *service) folder(id uint64) string { return filepath.Join(s.dir, fmt.Sprint(id)) }
func (s *service) log(id uint64) string    { return s.folder(id) + ".log" }

func (s *service) initArgs(id uint64) []string {
	args := []string{"init", "--folder", s.folder(id), "--cluster", "c", "--id", fmt.Sprint(id)}
	for _, m := range s.members {
		args = append(args, "--member", fmt.Sprintf("%d=%s", m.ID, m.Address))
	}
	return args
}

// must runs the program to its end, which has to be good.
func (s *service) must(args ...string) string {
	s.t.Helper()
	out, err := exec.Command(s.program, args...).CombinedOutput()
	if err != nil {
		s.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

func (s *service) run(id uint64) {
	s.t.Helper()
	if s.running[id] == nil {
		s.running[id] = faults.NewProcess(fmt.Sprint("member-", id), s.log(id), s.launcher, s.program, "run", "--folder", s.folder(id))
	}
	if err := s.running[id].Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *service) lead(path string, r api.Request) (api.Response, error) {
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	return s.caller.CallLeader(ctx, s.members, path, r)
}

// eventually waits for what has to come.
func (s *service) eventually(what string, is func() bool) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within 30 s: %s\n%s", what, s.logs())
		}
	}
}

// logs is what the members said.
func (s *service) logs() (text string) {
	for _, m := range s.members {
		raw, _ := os.ReadFile(s.log(m.ID))
		status, err := s.caller.Status(context.Background(), m.Address)
		text += fmt.Sprintf("member %d: %+v, %v\n%s", m.ID, status, err, raw)
	}
	return text
}

func (s *service) put(seq uint64, key string) error {
	open, err := s.lead(api.PathCommand, api.Request{Command: &coord.Command{Op: coord.OpOpen, Nonce: "n", TTL: time.Minute}})
	if err != nil {
		return err
	}
	a, err := s.lead(api.PathCommand, api.Request{Command: &coord.Command{Op: coord.OpPut, Session: open.Result.Session, Seq: seq, Key: key}})
	if err == nil && a.Result.Code != coord.CodeOK {
		err = fmt.Errorf("%s: %s", key, a.Result.Code)
	}
	return err
}

// TestReplaceMember: a member whose disk is lost is noticed when it comes back under its old id; another joins, gets its
// vote, and the first is removed. What was written stays.
func TestReplaceMember(t *testing.T) {
	s := newService(t, 3)
	if err := s.put(1, "before"); err != nil {
		t.Fatal(err)
	}
	s.eventually("all know of one another", func() bool {
		for _, m := range s.members {
			st, err := s.caller.Status(context.Background(), m.Address)
			if err != nil {
				return false
			}
			for _, p := range st.Member.Peers {
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
	s.must(s.initArgs(1)...)
	s.run(1)
	s.eventually("the lost disk is noticed", func() bool {
		raw, _ := os.ReadFile(s.log(1))
		return strings.Contains(string(raw), "disk is old or was lost")
	})
	fourth := coord.Member{ID: 4, Address: s.address(), Learner: true}
	s.members = append(s.members[1:], fourth)
	s.must("join", "--folder", s.folder(4), "--cluster", "c", "--member", "4="+fourth.Address, "--via", s.members[0].Address)
	s.run(4)
	for _, step := range []api.Request{{AddMember: &fourth}, {RemoveMember: 1}, {AddMember: &coord.Member{ID: 4, Address: fourth.Address}}} {
		s.eventually(fmt.Sprintf("%+v", step), func() bool { _, err := s.lead(api.PathMembers, step); return err == nil })
	}
	// With the new one and one of the old there is a majority again.
	if err := s.running[2].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := s.put(2, "after"); err != nil {
		t.Fatalf("%v\n%s", err, s.logs())
	}
	a, err := s.lead(api.PathRead, api.Request{Query: &api.Query{Values: "*"}})
	if err != nil || len(a.Values) != 2 {
		t.Errorf("%+v, %v", a, err)
	}
}

// TestKilledTogether: all members are killed together, and again while they come up: what was answered is there.
func TestKilledTogether(t *testing.T) {
	s := newService(t, 3)
	for i := range 3 {
		if err := s.put(uint64(i+1), fmt.Sprint("k", i)); err != nil {
			t.Fatal(err)
		}
		for again := range 3 {
			for _, p := range s.running {
				if err := p.Kill(); err != nil {
					t.Fatal(err)
				}
			}
			for _, m := range s.members {
				s.run(m.ID)
			}
			time.Sleep(time.Duration(again) * 30 * time.Millisecond) // drawn moments of their start
		}
	}
	a, err := s.lead(api.PathRead, api.Request{Query: &api.Query{Values: "*"}})
	if err != nil || len(a.Values) != 3 {
		t.Errorf("%+v, %v", a, err)
	}
	for _, p := range s.running {
		if err := p.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range s.members {
		s.must("verify", "--folder", s.folder(m.ID))
	}
}

// TestBadInput: one line that names what is wrong, and exit code 2.
func TestBadInput(t *testing.T) {
	s := newService(t, 1)
	s.eventually("it leads", func() bool { return s.put(1, "k") == nil })
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inUse.Close()
	other := filepath.Join(s.dir, "other")
	s.must("init", "--folder", other, "--cluster", "c", "--id", "1", "--member", "1="+inUse.Addr().String())
	damaged := filepath.Join(s.dir, "damaged")
	s.must("init", "--folder", damaged, "--cluster", "c", "--id", "1", "--member", "1=127.0.0.1:1")
	raw, err := os.ReadFile(filepath.Join(damaged, "coord.db"))
	if err != nil {
		t.Fatal(err)
	}
	raw[40] ^= 1
	if err := os.WriteFile(filepath.Join(damaged, "coord.db"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		args []string
		code int
		says string
	}{
		"no folder":             {[]string{"run"}, 2, "folder"},
		"an empty folder":       {[]string{"run", "--folder", s.dir}, 2, "no member's data"},
		"a folder in use":       {[]string{"run", "--folder", s.folder(1)}, 2, "in use"},
		"an address in use":     {[]string{"run", "--folder", other}, 2, "address already in use"},
		"a damaged folder":      {[]string{"run", "--folder", damaged}, 2, "damaged"},
		"the same, verified":    {[]string{"verify", "--folder", damaged}, 1, "damaged"},
		"made twice":            {s.initArgs(1), 2, "already"},
		"an even number":        {append(s.initArgs(1), "--member", "2=127.0.0.1:1"), 2, "--member"},
		"no member at all":      {[]string{"init", "--folder", "x", "--cluster", "c", "--id", "1"}, 2, "--member"},
		"joins another cluster": {[]string{"join", "--folder", "x", "--cluster", "d", "--member", "4=127.0.0.1:1", "--via", s.members[0].Address}, 2, "cluster"},
		"an unknown flag":       {[]string{"run", "--fodler", "x"}, 2, "fodler"},
	} {
		cmd := exec.Command(s.program, tt.args...)
		out, _ := cmd.CombinedOutput()
		text := strings.TrimSpace(string(out))
		if cmd.ProcessState.ExitCode() != tt.code || !strings.Contains(text, tt.says) || strings.Contains(text, "goroutine") {
			t.Errorf("%s: exit code %d: %s", name, cmd.ProcessState.ExitCode(), text)
		}
	}
}
