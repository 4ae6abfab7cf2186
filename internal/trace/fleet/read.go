package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"frostlink/internal/trace"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// BadLine is a line of the trace that could not be used.
type BadLine struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

func (b BadLine) String() string { return fmt.Sprintf("%s:%d: %s", b.File, b.Line, b.Reason) }

// Logs are the traces of a fleet.
type Logs struct {
	Events  []Logged
	Bad     []BadLine
	Other   int      // lines without a trace
	Foreign *BadLine // the first of the bad ones that another version of the program wrote
}

// ReadFiles reads logs: files, or folders with one *.log for each relay. A relay is named by its file.
func ReadFiles(paths []string) (*Logs, error) {
	logs := &Logs{}
	for _, path := range paths {
		files := []string{path}
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.log")); err != nil {
				return nil, err
			}
			if len(files) == 0 {
				return nil, fmt.Errorf("%s: has no file that ends in .log", path)
			}
			sort.Strings(files)
		}
		for _, name := range files {
			f, err := os.Open(name)
			if err != nil {
				return nil, err
			}
			err = logs.Read(name, f)
			if err = errors.Join(err, f.Close()); err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return logs, nil
}

// Read reads one relay's log. The last line may be torn, as by a kill: it is named like any that can't be used.
func (l *Logs) Read(name string, in io.Reader) error {
	relay := strings.TrimSuffix(filepath.Base(name), ".log")
	lines := bufio.NewReaderSize(in, 64<<10)
	for n := 1; ; n++ {
		line, tooLong, err := readLine(lines)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		e, ok, bad := trace.Parse(line)
		switch {
		case tooLong:
			l.Bad = append(l.Bad, BadLine{name, n, fmt.Sprintf("longer than %d bytes", maxLine)})
		case bad != nil:
			l.Bad = append(l.Bad, BadLine{name, n, bad.Error()})
			if _, foreign := bad.(trace.VersionError); foreign && l.Foreign == nil {
				l.Foreign = &l.Bad[len(l.Bad)-1]
			}
		case !ok:
			l.Other++
		default:
			l.Events = append(l.Events, Logged{relay, e})
		}
	}
}

// readLine reads a line without its end; of one that is too long it keeps the first part.
func readLine(in *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		part, err := in.ReadSlice('\n')
		if room := maxLine - len(line); len(part) > room {
			part, tooLong = part[:room], true
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return []byte(strings.TrimRight(string(line), "\r\n")), tooLong, err
		}
	}
}
