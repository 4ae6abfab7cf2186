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
	// maxLine limits the length of a line, in bytes.
	maxLine = 1 << 20
	// readBuffer is the size of the buffer for reading a log, in bytes.
	readBuffer = 64 << 10
	// logSuffix is the suffix of a relay's log file. The rest of the file name is the name of the relay.
	logSuffix = ".log"
)

// BadLine is a line of a trace that can't be used.
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
	OtherLines   int      // number of lines that contain no event
	OtherVersion *BadLine // the first bad line whose version this program can't read; nil: none
}

// EmptyFolderError is the error for a folder that contains no log.
type EmptyFolderError struct{ Folder string }

func (e EmptyFolderError) Error() string { return e.Folder + ": has no file that ends in " + logSuffix }

// ReadFiles reads logs. Each path is a log file, or a folder with one *.log file for each relay. A relay has the name of its
// file. ReadFiles fails if a file can't be read, and with [EmptyFolderError] if a folder contains no log. Lines that can't be
// used are listed in Logs.BadLines and cause no error.
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

// logFiles returns a path if it is a file, or else the log files in the folder, sorted by name.
func logFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err //nolint:wrapcheck // contains the path
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*"+logSuffix))
	if err != nil {
		return nil, err //nolint:wrapcheck // the only possible error is that of an invalid pattern
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
		return err //nolint:wrapcheck // contains the name of the file
	}
	err = l.Read(name, f)
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Read reads the log of one relay. The last line may be incomplete if the relay was killed; it is listed in Logs.BadLines
// like any other line that can't be used.
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

// readLine reads a line without its line break. If the line is longer than maxLine, readLine returns its first part and sets
// tooLong.
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
