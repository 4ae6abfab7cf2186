package faults

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// callerEnv has the test binary make system calls of each kind in a folder that it names, and print how they ended.
const callerEnv = "FROSTLINK_TEST_CALLER"

const callsOfAKind = 200

// makeCalls makes calls on files inside and outside of the folder and on sockets, and prints a line a kind: its name and how often
// it failed with which error.
func makeCalls(folder string) {
	count := func(kind string, do func(i int) error) {
		failed := map[string]int{}
		for i := range callsOfAKind {
			var errno syscall.Errno
			if err := do(i); errors.As(err, &errno) {
				failed[errno.Error()]++
			} else if err != nil {
				failed[err.Error()]++
			}
		}
		fmt.Println(kind, failed)
	}
	open := func(name string) *os.File {
		file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			fmt.Println("open", err)
			os.Exit(1)
		}
		return file
	}
	inside, outside := open(filepath.Join(folder, "in")), open(folder+"-out")
	count("file-write", func(int) error { _, err := inside.Write([]byte("0123456789")); return err })
	count("file-write-outside", func(int) error { _, err := outside.Write([]byte("0123456789")); return err })
	count("file-sync", func(int) error { return inside.Sync() })
	count("file-open", func(i int) error {
		file, err := os.OpenFile(filepath.Join(folder, "new"), os.O_CREATE|os.O_WRONLY, 0o600)
		_ = file.Close()
		return err
	})
	count("file-rename", func(i int) error {
		name := filepath.Join(folder, "move")
		return os.Rename(fmt.Sprint(name, i%2), fmt.Sprint(name, 1-i%2))
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println("listen", err)
		os.Exit(1)
	}
	count("connect", func(int) error {
		c, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			err = c.Close()
		}
		return err
	})
	count("accept", func(int) error {
		_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
		c, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // no connection was left
		}
		if err == nil {
			err = c.Close()
		}
		return err
	})
}

// Each kind of call fails as a rule says, at about its share, and no other does; without a rule none fails.
func TestSyscallErrors(t *testing.T) {
	library, err := BuildSyscallLibrary(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	all := []string{"file-write", "file-write-outside", "file-sync", "file-open", "file-rename", "connect", "accept"}
	for _, c := range []struct {
		kind string
		call Syscall
		with syscall.Errno
	}{
		{"", 0, 0},
		{"file-write", FileWrite, syscall.ENOSPC},
		{"file-write", FileWrite, ShortTransfer}, // the runtime goes on with the rest: none fails
		{"file-sync", FileSync, syscall.EIO},
		{"file-open", FileOpen, syscall.EROFS},
		{"file-rename", FileRename, syscall.EIO},
		{"connect", Connect, syscall.ENETUNREACH},
		{"accept", Accept, syscall.ENOBUFS},
		{"", PollWait, syscall.EINTR}, // the runtime asks again
	} {
		name := fmt.Sprint(c.kind, c.call, c.with)
		dir := t.TempDir()
		folder := filepath.Join(dir, "state")
		if err := os.MkdirAll(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, "move0"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		failing, err := NewSyscallErrors(library, filepath.Join(dir, "rules"), folder, 1)
		if err != nil {
			t.Fatal(err)
		}
		var rule Rule
		if c.call != 0 {
			if rule, err = failing.Fail(c.call, c.with, 0.5); err != nil {
				t.Fatal(err)
			}
		}
		own, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(own)
		cmd.Env = append(append(os.Environ(), failing.Env()...), Preload(failing.Library()), callerEnv+"="+folder)
		var out bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &out
		if err := cmd.Run(); err != nil {
			t.Fatalf("%s: %v: %s", name, err, out.String())
		}
		hits := 0
		if c.call != 0 {
			if hits, err = failing.Clear(rule); err != nil || c.call != PollWait && (hits < callsOfAKind/4 || hits > 2*callsOfAKind) {
				t.Errorf("%s: applied %d times, %v", name, hits, err)
			}
		}
		for _, kind := range all {
			line := lineOf(out.String(), kind+" ")
			wanted := kind == c.kind && c.with != ShortTransfer
			if failed := line != "map[]"; failed != wanted || wanted && !strings.Contains(line, c.with.Error()) &&
				kind != "file-rename" { // there a rename that failed has the next ones find no file
				t.Errorf("%s: %s failed with %s", name, kind, line)
			}
		}
		if raw, err := os.ReadFile(filepath.Join(folder, "in")); c.with == ShortTransfer && (err != nil || !bytes.Equal(raw, bytes.Repeat([]byte("0123456789"), callsOfAKind))) {
			t.Errorf("%s: %d bytes were written, %v", name, len(raw), err)
		}
	}
}

// lineOf gives what stands behind a prefix in the line that begins with it.
func lineOf(text, prefix string) string {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), prefix); ok {
			return rest
		}
	}
	return "nothing"
}
