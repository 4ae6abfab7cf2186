package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

const (
	// socketName and lockName are the names of the files in the relay's folder.
	socketName, lockName = "handover", "lock"
	// maxSocketPath is the length at most of a path that serves as a Unix socket's address (unix(7): 108
	// bytes with its end).
	maxSocketPath = 100
)

// socketPath returns the address of a folder's socket. A path that is too long for an address goes by a
// descriptor of the folder, which release closes after use.
func socketPath(dir string) (path string, release func(), err error) {
	path = filepath.Join(dir, socketName)
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	folder, err := os.Open(dir)
	if err != nil {
		return "", nil, fmt.Errorf("handover: %w", err)
	}
	path = "/proc/self/fd/" + strconv.Itoa(int(folder.Fd())) + "/" + socketName
	return path, func() { _ = folder.Close() }, nil // it was only read
}

// folderLock is the lock on a folder. It belongs to the open file description, not to the process
// (flock(2)), so it passes with its descriptor and is never free in between.
type folderLock struct{ file *os.File }

// lockFolder locks a folder, or returns errFolderLocked.
func lockFolder(dir string) (*folderLock, error) {
	path := filepath.Join(dir, lockName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		// A file that exists can be locked in a folder that can't be written as well.
		file, err = os.OpenFile(path, os.O_RDONLY, 0)
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errFolderLocked
		}
		return nil, fmt.Errorf("handover: lock: %w", err)
	}
	return &folderLock{file}, nil
}

// close drops this process's descriptor of the lock. The folder is unlocked once no process has one.
func (l *folderLock) close() {
	if l != nil {
		_ = l.file.Close() // nothing was written
	}
}
