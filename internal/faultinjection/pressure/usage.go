package pressure

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the interval between samples of the relay's usage.
const sampleInterval = 10 * time.Millisecond

// diskBlockBytes is the unit in which files occupy disk space.
const diskBlockBytes = 512

// Usage is what a relay's processes and the files of its folder occupy. Files count as memory.
type Usage struct {
	folder  string
	stopped chan struct{}
	done    chan struct{}

	mu          sync.Mutex // guards the fields below
	pids        []int
	residentMB  float64 // largest VmHWM of a process
	filesMB     float64 // largest size of the folder
	togetherMB  float64 // largest sum, in one sample, of all processes' own memory, the program's files and the folder
	descriptors int     // largest number of one process's descriptors
	memory      map[string]float64
}

func newUsage(folder string) *Usage {
	u := &Usage{folder: folder, stopped: make(chan struct{}), done: make(chan struct{}), memory: map[string]float64{}}
	go u.run()
	return u
}

func (u *Usage) stop() {
	close(u.stopped)
	<-u.done
}

func (u *Usage) watch(pid int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pids = append(u.pids, pid)
}

func (u *Usage) run() {
	defer close(u.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-u.stopped:
			return
		case <-ticker.C:
			u.sample()
		}
	}
}

func (u *Usage) sample() {
	u.mu.Lock()
	defer u.mu.Unlock()
	files := megabytes(FolderBytes(u.folder))
	u.filesMB = max(u.filesMB, files)
	together, mapped := files, 0.0
	u.pids = slices.DeleteFunc(u.pids, func(pid int) bool {
		status, err := processStatus(pid)
		if err != nil {
			return true // the process has ended
		}
		together += status["RssAnon"]
		mapped = max(mapped, status["RssFile"]) // processes of one program share its pages
		if status["VmHWM"] > u.residentMB {
			u.residentMB, u.memory = status["VmHWM"], status
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			u.descriptors = max(u.descriptors, len(entries))
		}
		return false
	})
	u.togetherMB = max(u.togetherMB, together+mapped)
}

// PeakMB returns the peak in MB: the peak of one process's resident memory plus the peak of the folder's files, or the largest sum of
// all processes and files at one time, if that is more.
func (u *Usage) PeakMB() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.residentMB+u.filesMB, u.togetherMB)
}

// Descriptors returns the largest number of descriptors that one process had open.
func (u *Usage) Descriptors() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.descriptors
}

func (u *Usage) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("VmHWM %.1f MB (anonymous %.1f, files mapped %.1f), folder %.1f MB, processes and folder together %.1f MB, %d descriptors",
		u.residentMB, u.memory["RssAnon"], u.memory["RssFile"], u.filesMB, u.togetherMB, u.descriptors)
}

// processStatus returns the memory figures in /proc/PID/status, in MB.
func processStatus(pid int) (map[string]float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return nil, fmt.Errorf("status of a process: %w", err)
	}
	status := map[string]float64{}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, ":")
		if fields := strings.Fields(value); len(fields) == 2 && fields[1] == "kB" {
			kilobytes, _ := strconv.ParseInt(fields[0], 10, 64) // the kernel writes a number
			status[name] = megabytes(kilobytes << 10)
		}
	}
	return status, nil
}

// FolderBytes returns the disk space that the files below a folder occupy, in bytes.
func FolderBytes(dir string) (size int64) {
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // a file that was deleted meanwhile occupies no space
		}
		if info, err := entry.Info(); err == nil {
			size += (info.Size() + diskBlockBytes - 1) / diskBlockBytes * diskBlockBytes
		}
		return nil
	})
	return size
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
