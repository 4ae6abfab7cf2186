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
)

// syscallSource is the library that has system calls fail.
//
//go:embed preload/syscalls.c
var syscallSource []byte

const (
	rulesEnv, folderEnv = "FROSTLINK_SYSCALL_RULES", "FROSTLINK_SYSCALL_FOLDER"
	// mostRules hold at once, each of ruleSize bytes behind a head of headSize: the seed and the number of calls, in the machine's
	// byte order.
	mostRules, ruleSize, headSize = 16, 16, 16
	// short stands for an errno: the call is made with a part of its length.
	short = 0xffff
)

// Syscall is a kind of system call that can be made to fail.
type Syscall int

// The kinds of call, as the library numbers them. Those on files are of the process's own folder only.
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

// ShortTransfer has a read or write take only a part of what it is given, in place of an error.
const ShortTransfer syscall.Errno = short

// SyscallErrors makes system calls of processes fail that are started with its Env: of each kind a share of the calls, drawn
// from a seed by the number of the call. The processes have to be linked dynamically against the C library.
type SyscallErrors struct {
	library, path, folder string

	mu   sync.Mutex
	used [mostRules]bool
}

// Rule is one that holds until it is taken back.
type Rule int

// BuildSyscallLibrary compiles the library into a folder and gives its path. It needs a C compiler.
func BuildSyscallLibrary(dir string) (string, error) {
	return buildLibrary(dir, "syscalls", syscallSource)
}

// NewSyscallErrors makes no call fail yet; the rules are kept in a file at path, and folder is the one whose files are meant.
func NewSyscallErrors(library, path, folder string, seed uint64) (*SyscallErrors, error) {
	raw := make([]byte, headSize+mostRules*ruleSize)
	binary.NativeEndian.PutUint64(raw, seed)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	folder, err := filepath.Abs(folder)
	return &SyscallErrors{library: library, path: path, folder: folder + "/"}, err
}

// Env is what a process needs in its environment, beside the library in LD_PRELOAD.
func (s *SyscallErrors) Env() []string {
	return []string{rulesEnv + "=" + s.path, folderEnv + "=" + s.folder}
}

// Library is what has to be preloaded.
func (s *SyscallErrors) Library() string { return s.library }

// Fail has a share of the calls of a kind fail with an error from now on, in running processes and later ones.
func (s *SyscallErrors) Fail(call Syscall, with syscall.Errno, share float64) (Rule, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.used {
		if s.used[i] {
			continue
		}
		s.used[i] = true
		return Rule(i), s.write(i, uint32(call), uint32(with), uint32(min(share*(1<<32), math.MaxUint32)))
	}
	return 0, fmt.Errorf("more than %d rules on system calls at once", mostRules)
}

// Clear takes a rule back, and tells how often it was applied.
func (s *SyscallErrors) Clear(rule Rule) (hits int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := os.ReadFile(s.path)
	if err != nil {
		return 0, err
	}
	s.used[rule] = false
	return int(binary.NativeEndian.Uint32(raw[headSize+int(rule)*ruleSize+12:])), s.write(int(rule), 0, 0, 0)
}

// write writes a rule in place: group, error, chance, and no hits. The lock is held.
func (s *SyscallErrors) write(i int, group, with, chance uint32) error {
	file, err := os.OpenFile(s.path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	raw := make([]byte, ruleSize)
	for n, v := range []uint32{group, with, chance, 0} {
		binary.NativeEndian.PutUint32(raw[4*n:], v)
	}
	_, err = file.WriteAt(raw, int64(headSize+i*ruleSize))
	return err
}
