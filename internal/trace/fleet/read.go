package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"frostlink/internal/trace"
)

const (
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
	// readBuffer is how much of a log is read at once, in bytes.
	readBuffer = 64 << 10
	// logSuffix is that of a relay's log: the rest of the file's name is the relay's.
	logSuffix = ".log"
)

// BadLine is a line of the trace that could not be used.
type BadLine struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

func (b BadLine) String() string { return fmt.Sprintf("%s:%d: %s", b.File, b.Line, b.Reason) }

// Logs are the traces of a fleet.
type Logs struct {
	Events       []RelayEvent
	BadLines     []BadLine
	OtherLines   int      // lines without a trace
	OtherVersion *BadLine // the first of the bad lines that another version of the program wrote
}

// EmptyFolderError says that a folder holds no log.
type EmptyFolderError struct{ Folder string }

func (e EmptyFolderError) Error() string { return e.Folder + ": has no file that ends in " + logSuffix }

// ReadFiles reads logs: files, or folders with one *.log for each relay. A relay is named by its file. It fails where a
// file can't be read, with [EmptyFolderError] where a folder has none; lines that can't be used are no failure.
func ReadFiles(paths []string) (*Logs, error) {
	logs := &Logs{}
	for _, path := range paths {
		files, err := logFiles(path)
		if err != nil {
			return nil, err
		}
		for _, name := range files {
			if err := logs.readFile(name); err != nil {
				return nil, err
			}
		}
	}
	return logs, nil
}

// logFiles returns the logs that a path names, in order of their names.
func logFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // names the path
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*"+logSuffix))
	if err != nil {
		return nil, err //nolint:wrapcheck // names the pattern
	}
	if len(files) == 0 {
		return nil, EmptyFolderError{path}
	}
	slices.Sort(files)
	return files, nil
}

func (l *Logs) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err //nolint:wrapcheck // names the file
	}
	err = l.Read(name, f)
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Read reads one relay's log. The last line may be torn, as by a kill: it is named like any that can't be used.
func (l *Logs) Read(name string, in io.Reader) error {
	relay := strings.TrimSuffix(filepath.Base(name), logSuffix)
	lines := bufio.NewReaderSize(in, readBuffer)
	for number := 1; ; number++ {
		line, tooLong, err := readLine(lines)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if tooLong {
			l.addBad(name, number, fmt.Sprintf("longer than %d bytes", maxLine))
			continue
		}
		l.addLine(name, relay, number, line)
	}
}

func (l *Logs) addLine(name, relay string, number int, line []byte) {
	event, isTrace, err := trace.Parse(line)
	var version trace.VersionError
	switch {
	case errors.As(err, &version):
		l.addBad(name, number, err.Error())
		if l.OtherVersion == nil {
			first := l.BadLines[len(l.BadLines)-1]
			l.OtherVersion = &first
		}
	case err != nil:
		l.addBad(name, number, err.Error())
	case !isTrace:
		l.OtherLines++
	default:
		l.Events = append(l.Events, RelayEvent{relay, event})
	}
}

func (l *Logs) addBad(name string, number int, reason string) {
	l.BadLines = append(l.BadLines, BadLine{name, number, reason})
}

// readLine reads a line without its end; of one that is too long it keeps the first part.
func readLine(in *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		part, err := in.ReadSlice('\n')
		if capacity := maxLine - len(line); len(part) > capacity {
			part = part[:capacity]
			tooLong = true
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return []byte(strings.TrimRight(string(line), "\r\n")), tooLong, err
		}
	}
}
