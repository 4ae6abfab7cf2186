package stage

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// longest bounds a case; a case that takes longer could not run.
const longest = 110 * time.Second

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Stage is one run of a case.
type Stage struct {
	// Trouble is false if the case runs without its disruption (TROUBLE=0).
	Trouble bool
	// Dir is a temporary folder, which is removed at the end.
	Dir string

	start time.Time

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	record *os.File
	ends   []func() // what ends the stage, in reverse order
	ended  bool
}

// failure is the panic value of Check.
type failure struct{ text string }

// Play runs a case and exits. The program's argument is the case's folder, after a seed that the ids of relay and messages are drawn
// from; the working directory is the root of the repository.
func Play(play func(s *Stage) (violations []string)) {
	seed := flag.Uint64("seed", 1, "seed of the ids")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: CASE [--seed N] FOLDER, from the root of the repository")
		os.Exit(failed)
	}
	s := &Stage{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), random: rand.New(rand.NewPCG(*seed, 0))}
	result := make(chan int, 1)
	go func() { result <- s.play(flag.Arg(0), play) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	code := failed
	select {
	case code = <-result:
	case <-stopped:
		s.Record("stopped by a signal")
	case <-time.After(longest):
		s.Record("could not run: it took longer than %v", longest)
	}
	s.end()
	os.Exit(code)
}

// play runs the case and returns the exit code.
func (s *Stage) play(folder string, play func(s *Stage) []string) (code int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case failure:
			s.Record("could not run: %s", r.text)
			fmt.Fprintln(os.Stderr, "could not run:", r.text)
			code = failed
		default:
			panic(r)
		}
	}()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	s.Check(err, "record")
	s.mu.Lock()
	s.record = record
	s.mu.Unlock()
	s.Dir, err = os.MkdirTemp("", "review-")
	s.Check(err, "temporary folder")
	s.AtEnd(func() { _ = os.RemoveAll(s.Dir) })
	s.Record("disruption: %v", s.Trouble)
	violations := play(s)
	for _, v := range violations {
		s.Record("RULE BROKEN: %s", v)
		fmt.Println("RULE BROKEN:", v)
	}
	if len(violations) > 0 {
		return broken
	}
	s.Record("the rule held")
	fmt.Println("the rule held")
	return held
}

// AtEnd adds a function that runs at the end of the case, the last one first. If the case has ended, it runs at once.
func (s *Stage) AtEnd(end func()) {
	s.mu.Lock()
	ended := s.ended
	if !ended {
		s.ends = append(s.ends, end)
	}
	s.mu.Unlock()
	if ended {
		end()
	}
}

func (s *Stage) end() {
	s.mu.Lock()
	ends := s.ends
	s.ends, s.ended = nil, true
	s.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

// Now returns the time since the start of the case.
func (s *Stage) Now() time.Duration { return time.Since(s.start) }

// Record writes a line, with the time since the start of the case, to record.txt.
func (s *Stage) Record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		fmt.Fprintf(s.record, "%8.3f s  %s\n", s.Now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// Check ends the case with exit code 2 if err is not nil.
func (s *Stage) Check(err error, what string) {
	if err != nil {
		panic(failure{what + ": " + err.Error()})
	}
}

// Fail ends the case with exit code 2.
func (s *Stage) Fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// WaitFor waits until a condition holds; if it does not hold in time, the case could not run.
func (s *Stage) WaitFor(what string, limit time.Duration, condition func() bool) {
	if !s.Holds(limit, condition) {
		s.Fail("timed out waiting until %s", what)
	}
}

// Holds reports whether a condition comes to hold within a time.
func (s *Stage) Holds(limit time.Duration, condition func() bool) bool {
	const poll = 10 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(poll) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Listen listens on a free loopback address until the end of the case.
func (s *Stage) Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.Check(err, "listen")
	s.AtEnd(func() { _ = l.Close() })
	return l
}

// FreeAddress returns a loopback address that nothing listens on.
func (s *Stage) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.Check(err, "listen")
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// NewID draws an id of 16 hexadecimal digits.
func (s *Stage) NewID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%016x", s.random.Uint64())
}
