package faults

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// callerEnv is an environment variable that names a folder. It makes the test binary act as a helper process, which makes system calls of
// each kind, with files in that folder, and prints the errors.
const callerEnv = "FROSTLINK_TEST_CALLER"

const (
	// callsPerKind is the number of calls of each kind that the helper process makes.
	callsPerKind = 200
	// writtenText is the text that each file-write call writes.
	writtenText = "0123456789"
	// renamedFile is the name, without its last character, of the file that the helper process renames. The last character alternates between
	// 0 and 1.
	renamedFile = "move"
)

// The kinds of calls that the helper process makes.
const (
	fileWrite        = "file-write"
	fileWriteOutside = "file-write-outside"
	fileSync         = "file-sync"
	fileOpen         = "file-open"
	fileRename       = "file-rename"
	connect          = "connect"
	accept           = "accept"
)

// quitEnv makes the helper process end itself by SIGQUIT, for which the Go runtime prints a report from its signal handler.
const quitEnv = "FROSTLINK_TEST_QUIT"

// blockEnv makes the helper process block all signals on the thread that makes its calls.
const blockEnv = "FROSTLINK_TEST_BLOCK"

// blockSignals blocks all signals on the calling goroutine's thread, which it keeps.
func blockSignals() {
	runtime.LockOSThread()
	all := ^uint64(0)
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_RT_SIGPROCMASK, setMask, uintptr(unsafe.Pointer(&all)), 0, unsafe.Sizeof(all), 0, 0); errno != 0 {
		fmt.Println("rt_sigprocmask", errno)
		os.Exit(1)
	}
}

// setMask is SIG_SETMASK of rt_sigprocmask(2).
const setMask = 2

// makeCalls is the main function of the helper process. It makes calls on files inside and outside of the folder and on sockets, and
// prints a line for each kind with the kind's name and the number of failures by error.
func makeCalls(folder string) {
	if os.Getenv(quitEnv) != "" {
		_ = syscall.Kill(os.Getpid(), syscall.SIGQUIT)
		time.Sleep(time.Minute)
	}
	if os.Getenv(blockEnv) != "" {
		blockSignals()
	}
	makeFileCalls(folder)
	makeSocketCalls()
}

// countErrors makes calls of one kind, and prints the number of failures by error.
func countErrors(kind string, call func(i int) error) {
	failed := map[string]int{}
	for i := range callsPerKind {
		var errno syscall.Errno
		if err := call(i); errors.As(err, &errno) {
			failed[errno.Error()]++
		} else if err != nil {
			failed[err.Error()]++
		}
	}
	fmt.Println(kind, failed)
}

func makeFileCalls(folder string) {
	open := func(name string) *os.File {
		file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			fmt.Println("open", err)
			os.Exit(1)
		}
		return file
	}
	inside, outside := open(filepath.Join(folder, "in")), open(folder+"-out")
	countErrors(fileWrite, func(int) error { _, err := inside.WriteString(writtenText); return err })
	countErrors(fileWriteOutside, func(int) error { _, err := outside.WriteString(writtenText); return err })
	countErrors(fileSync, func(int) error { return inside.Sync() })
	countErrors(fileOpen, func(int) error {
		file, err := os.OpenFile(filepath.Join(folder, "new"), os.O_CREATE|os.O_WRONLY, 0o600)
		_ = file.Close()
		return err
	})
	countErrors(fileRename, func(i int) error {
		name := filepath.Join(folder, renamedFile)
		return os.Rename(fmt.Sprint(name, i%2), fmt.Sprint(name, 1-i%2))
	})
}

func makeSocketCalls() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println("listen", err)
		os.Exit(1)
	}
	countErrors(connect, func(int) error {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			err = conn.Close()
		}
		return err
	})
	countErrors(accept, func(int) error {
		_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
		conn, err := listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // no connection was waiting
		}
		if err == nil {
			err = conn.Close()
		}
		return err
	})
}

// A rule makes calls of its own kind fail with its error, and calls of no other kind. Calls on files outside the folder never fail, and
// without a rule no call fails.
func TestSyscallErrors_FailTheCallsOfTheirKindAlone(t *testing.T) {
	library, err := BuildSyscallLibrary(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []syscallTest{
		{"no rule", "", 0, 0, ""},
		{"no space", fileWrite, FileWrite, syscall.ENOSPC, ""},
		{"short writes, which the runtime completes", fileWrite, FileWrite, ShortTransfer, ""},
		{"sync", fileSync, FileSync, syscall.EIO, ""},
		{"read-only", fileOpen, FileOpen, syscall.EROFS, ""},
		{"rename", fileRename, FileRename, syscall.EIO, ""},
		{"unreachable", connect, Connect, syscall.ENETUNREACH, ""},
		{"no buffers", accept, Accept, syscall.ENOBUFS, ""},
		{"interrupted polls, which the runtime repeats", "", PollWait, syscall.EINTR, ""},
		{"no space, on a thread that blocks all signals", fileWrite, FileWrite, syscall.ENOSPC, "all"},
	} {
		t.Run(tt.name, func(t *testing.T) { tt.run(t, library) })
	}
}

// syscallTest is a rule for half of the calls of one kind, and the kind of calls of the helper process that it makes fail.
type syscallTest struct {
	name  string
	kind  string // kind that fails; "": none
	call  Syscall
	errno syscall.Errno
	block string // not empty: the calls are made with all signals blocked
}

func (tt syscallTest) run(t *testing.T, library string) {
	t.Helper()
	dir := t.TempDir()
	folder := filepath.Join(dir, "state")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, renamedFile+"0"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	syscallErrors, err := NewSyscallErrors(library, filepath.Join(dir, "rules"), folder, 1)
	if err != nil {
		t.Fatal(err)
	}
	var rule Rule
	if tt.call != 0 {
		if rule, err = syscallErrors.Fail(tt.call, tt.errno, 0.5); err != nil {
			t.Fatal(err)
		}
	}
	output, err := runHelper(t, append(syscallErrors.Env(), Preload(syscallErrors.Library()), callerEnv+"="+folder, blockEnv+"="+tt.block))
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	if tt.call != 0 {
		hits, err := syscallErrors.Clear(rule)
		if err != nil || tt.call != PollWait && (hits < callsPerKind/4 || hits > 2*callsPerKind) {
			t.Errorf("rule applied to %d calls, error %v", hits, err)
		}
	}
	for _, kind := range []string{fileWrite, fileWriteOutside, fileSync, fileOpen, fileRename, connect, accept} {
		tt.checkFailures(t, kind, lineOf(output, kind+" "))
	}
	raw, err := os.ReadFile(filepath.Join(folder, "in"))
	if tt.errno == ShortTransfer && (err != nil || string(raw) != strings.Repeat(writtenText, callsPerKind)) {
		t.Errorf("file has wrong content of %d bytes after short writes, error %v", len(raw), err)
	}
}

// checkFailures checks the line that the helper process printed for one kind of call.
func (tt syscallTest) checkFailures(t *testing.T, kind, line string) {
	t.Helper()
	wanted := kind == tt.kind && tt.errno != ShortTransfer
	failed := line != "map[]"
	// After a rename that failed, the next renames fail with another error, because their source file does not exist.
	otherError := wanted && kind != fileRename && !strings.Contains(line, tt.errno.Error())
	if failed != wanted || otherError {
		t.Errorf("%s calls failed with %s", kind, line)
	}
}

// The report of a crash that the Go runtime prints from a signal handler is not lost: otherwise the process would be killed by SIGSYS, and
// nothing would tell why it ended.
func TestSyscallErrors_CrashIsReported(t *testing.T) {
	library, err := BuildSyscallLibrary(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	syscallErrors, err := NewSyscallErrors(library, filepath.Join(t.TempDir(), "rules"), t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	output, err := runHelper(t, append(syscallErrors.Env(), Preload(syscallErrors.Library()), callerEnv+"="+t.TempDir(), quitEnv+"=1"))
	if err == nil || !strings.Contains(output, "SIGQUIT") {
		t.Errorf("helper process ended with %v, and printed %q", err, output)
	}
}

// runHelper runs the test binary as a helper process, and returns its output and how it ended.
func runHelper(t *testing.T, env []string) (text string, err error) {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), env...)
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	err = cmd.Run()
	return output.String(), err
}

// lineOf returns the text that follows a prefix in the line that begins with the prefix.
func lineOf(text, prefix string) string {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), prefix); ok {
			return rest
		}
	}
	return "nothing"
}
