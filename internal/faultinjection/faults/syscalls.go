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

// syscallSource is the library that makes system calls fail.
//
//go:embed preload/syscalls.c
var syscallSource []byte

const (
	rulesEnv  = "FROSTLINK_SYSCALL_RULES"
	folderEnv = "FROSTLINK_SYSCALL_FOLDER"
)

// The layout of the file of rules, which the library maps: a header of the seed (uint64) and the number of calls (uint64), then
// maxRules rules of four uint32 each: call, errno, probability in units of 1/2^32, hits. All in the machine's byte order.
const (
	maxRules   = 16
	headerSize = 16
	ruleSize   = 16
	hitsOffset = 12      // in a rule
	certainty  = 1 << 32 // a probability of 1
	shortErrno = 0xffff  // stands for an errno: the call is made with a part of its length
	heldUp     = 0xfffe  // stands for an errno: the call is made HeldUpTime late
)

// Syscall is a kind of system call that can be made to fail.
type Syscall int

// The kinds of call, as the library numbers them. Those on files concern the process's own folder only.
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

// ShortTransfer makes a read or write transfer only a part of what it is given, in place of an error.
const ShortTransfer syscall.Errno = shortErrno //nolint:errname // no error: it stands in an errno's place for a short transfer

// HeldUp makes a call HeldUpTime late, in place of an error.
const HeldUp syscall.Errno = heldUp //nolint:errname // no error: it stands in an errno's place for a delay

// HeldUpTime is how late a call is made that is held up; the library has the same number.
const HeldUpTime = 150 * time.Millisecond

// SyscallErrors makes system calls fail in processes that are started with its Env: of each kind a share of the calls, drawn
// from a seed by the number of the call. The processes have to be linked dynamically against the C library.
type SyscallErrors struct {
	library, path, folder string

	mu   sync.Mutex // guards used, and the file at path
	used [maxRules]bool
}

// Rule names a rule that holds until it is cleared.
type Rule int

// BuildSyscallLibrary compiles the library into a folder and returns its path. It needs a C compiler.
func BuildSyscallLibrary(dir string) (string, error) {
	return buildLibrary(dir, "syscalls", syscallSource)
}

// NewSyscallErrors returns SyscallErrors without rules. The rules are stored in a file at path; rules on files concern those
// in folder.
func NewSyscallErrors(library, path, folder string, seed uint64) (*SyscallErrors, error) {
	raw := make([]byte, headerSize+maxRules*ruleSize)
	binary.NativeEndian.PutUint64(raw, seed)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, fmt.Errorf("rules on system calls: %w", err)
	}
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("rules on system calls: %w", err)
	}
	return &SyscallErrors{library: library, path: path, folder: folder + "/"}, nil
}

// Env returns what a process needs in its environment, besides the library in LD_PRELOAD.
func (s *SyscallErrors) Env() []string {
	return []string{rulesEnv + "=" + s.path, folderEnv + "=" + s.folder}
}

// Library returns the path of the library to preload.
func (s *SyscallErrors) Library() string { return s.library }

// Fail makes a share of the calls of a kind fail with an error from now on, in running processes and later ones.
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
	return 0, fmt.Errorf("more than %d rules on system calls at once", maxRules)
}

// Clear ends a rule, and returns how often it was applied.
func (s *SyscallErrors) Clear(rule Rule) (hits int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := os.ReadFile(s.path)
	if err != nil {
		return 0, fmt.Errorf("rules on system calls: %w", err)
	}
	s.used[rule] = false
	hits = int(binary.NativeEndian.Uint32(raw[rule.offset()+hitsOffset:]))
	return hits, s.write(rule, 0, 0, 0) // of no call: not used
}

// offset returns where a rule lies in the file.
func (r Rule) offset() int { return headerSize + int(r)*ruleSize }

// write writes a rule in place, without hits. The caller holds s.mu.
func (s *SyscallErrors) write(rule Rule, call Syscall, errno syscall.Errno, probability uint32) error {
	raw := make([]byte, 0, ruleSize)
	for _, v := range []uint32{uint32(call), uint32(errno), probability, 0} {
		raw = binary.NativeEndian.AppendUint32(raw, v)
	}
	return writeShared(s.path, rule.offset(), raw)
}
