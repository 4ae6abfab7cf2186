package faults

import (
	_ "embed" // the source of the preloaded library
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// syscallSource is the C source of the preloaded library that makes system calls fail.
//
//go:embed preload/syscalls.c
var syscallSource []byte

const (
	rulesEnv  = "FROSTLINK_SYSCALL_RULES"
	folderEnv = "FROSTLINK_SYSCALL_FOLDER"
)

// The rules file, which the library maps into memory, has this layout: a header with the seed (uint64) and the number of draws so far
// (uint64), then maxRules rules of four uint32 each: call, errno, probability in units of 1/2^32, hits. All numbers are in the machine's
// byte order.
const (
	maxRules   = 16
	headerSize = 16
	ruleSize   = 16
	hitsOffset = 12      // offset of the hits in a rule
	certainty  = 1 << 32 // a probability of 1
	shortErrno = 0xffff  // in place of an errno: the call transfers only a part of its length
	heldUp     = 0xfffe  // in place of an errno: the call is executed HeldUpTime late
)

// Syscall is a kind of system call that can be made to fail.
type Syscall int

// The kinds of system calls; the library has the same numbers. Rules for calls on files apply only to files in the process's own folder.
const (
	Accept Syscall = iota + 1
	Connect
	Socket
	SocketRead
	SocketWrite
	PollWait
	FileWrite
	FileSync
	FileOpen
	FileRename
)

// ShortTransfer as the error of a rule makes a read or write transfer only a part of its length instead of failing.
const ShortTransfer syscall.Errno = shortErrno //nolint:errname // not an error, but marks a short transfer in a rule

// HeldUp as the error of a rule delays a call by HeldUpTime instead of making it fail.
const HeldUp syscall.Errno = heldUp //nolint:errname // not an error, but marks a delay in a rule

// HeldUpTime is the delay of a call that is held up; the library has the same value in HELD_UP_NS.
const HeldUpTime = 150 * time.Millisecond

// SyscallErrors makes system calls fail in processes that are started with its Env and with its Library preloaded. A rule sets the
// share of the calls of one kind that fail. A seed and the number of the call determine whether a call fails. The processes have to
// be linked dynamically against the C library.
type SyscallErrors struct {
	library, path, folder string

	mu   sync.Mutex // guards used, and the file at path
	used [maxRules]bool
}

// Rule identifies a rule, which applies until it is cleared.
type Rule int

// BuildSyscallLibrary compiles the library into a folder and returns the library's path. It requires a C compiler.
func BuildSyscallLibrary(dir string) (string, error) {
	return buildLibrary(dir, "syscalls", syscallSource)
}

// NewSyscallErrors returns SyscallErrors without rules. The rules are stored in a file at path. Rules for calls on files apply to the
// files in folder.
func NewSyscallErrors(library, path, folder string, seed uint64) (*SyscallErrors, error) {
	raw := make([]byte, headerSize+maxRules*ruleSize)
	binary.NativeEndian.PutUint64(raw, seed)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, fmt.Errorf("write the system call rules: %w", err)
	}
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("resolve the folder of the system call rules: %w", err)
	}
	return &SyscallErrors{library: library, path: path, folder: folder + "/"}, nil
}

// Env returns the environment variables that a process needs in addition to the library in LD_PRELOAD.
func (s *SyscallErrors) Env() []string {
	return []string{rulesEnv + "=" + s.path, folderEnv + "=" + s.folder}
}

// Library returns the path of the library to preload.
func (s *SyscallErrors) Library() string { return s.library }

// Fail makes a share of the calls of a kind fail with an error from now on, in running processes and in processes started later.
func (s *SyscallErrors) Fail(call Syscall, errno syscall.Errno, share float64) (Rule, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.used {
		if s.used[i] {
			continue
		}
		s.used[i] = true
		rule := Rule(i)
		return rule, s.write(rule, call, errno, uint32(min(share*certainty, math.MaxUint32)))
	}
	return 0, fmt.Errorf("add a system call rule: all %d rules are in use", maxRules)
}

// Clear ends a rule, and returns how many calls it was applied to.
func (s *SyscallErrors) Clear(rule Rule) (hits int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := os.ReadFile(s.path)
	if err != nil {
		return 0, fmt.Errorf("read the system call rules: %w", err)
	}
	s.used[rule] = false
	hits = int(binary.NativeEndian.Uint32(raw[rule.offset()+hitsOffset:]))
	return hits, s.write(rule, 0, 0, 0) // the call 0 marks an unused rule
}

// offset returns the offset of a rule in the rules file.
func (r Rule) offset() int { return headerSize + int(r)*ruleSize }

// write overwrites a rule in the rules file, and sets its hits to 0. The caller holds s.mu.
func (s *SyscallErrors) write(rule Rule, call Syscall, errno syscall.Errno, probability uint32) error {
	raw := make([]byte, 0, ruleSize)
	for _, v := range []uint32{uint32(call), uint32(errno), probability, 0} {
		raw = binary.NativeEndian.AppendUint32(raw, v)
	}
	return writeShared(s.path, rule.offset(), raw)
}
