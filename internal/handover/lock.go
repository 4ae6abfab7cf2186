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
	// maxSocketPath is the maximum length of a path that is used as a Unix socket's address (unix(7) allows
	// 108 bytes with the terminating zero).
	maxSocketPath = 100
)

// socketPath returns the address of a folder's socket. If the path is too long for an address, the address
// refers to a descriptor of the folder under /proc/self/fd. The caller must call release after use, which
// closes that descriptor.
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
	return path, func() { _ = folder.Close() }, nil // opened only for reading, so an error loses no data
}

// folderLock is the lock on a folder. The lock belongs to the open file description, not to the process
// (flock(2)), so it passes to another process with the descriptor, and is held without interruption.
type folderLock struct{ file *os.File }

// lockFolder locks a folder, or returns errFolderLocked.
func lockFolder(dir string) (*folderLock, error) {
	path := filepath.Join(dir, lockName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		// An existing file can be locked even if the folder can't be written.
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

// close closes this process's descriptor of the lock. The folder is unlocked once no process has a
// descriptor of the lock.
func (l *folderLock) close() {
	if l != nil {
		_ = l.file.Close() // nothing was written, so an error loses no data
	}
}
