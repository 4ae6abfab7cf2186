package faults

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var programs string

// TestMain builds the programs that the rig starts.
func TestMain(m *testing.M) {
	if os.Getenv(clockReaderEnv) != "" {
		readClocks()
		return
	}
	if folder := os.Getenv(callerEnv); folder != "" {
		makeCalls(folder)
		return
	}
	code := func() int {
		dir, err := os.MkdirTemp("", "faults-")
		if err == nil {
			programs = dir
			defer os.RemoveAll(dir)
			var out []byte
			if out, err = exec.Command("go", "build", "-o", dir, "frostlink/cmd/frostlink", "frostlink/cmd/frostlink-coord").CombinedOutput(); err != nil {
				err = fmt.Errorf("%w: %s", err, out)
			}
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}()
	os.Exit(code)
}

// play plays a run, again where the machine was too busy for a verdict.
func play(t *testing.T, o Options) Result {
	t.Helper()
	o.RelayPath, o.CoordinatorPath = filepath.Join(programs, "frostlink"), filepath.Join(programs, "frostlink-coord")
	for range 4 {
		r, err := RunIn(context.Background(), t.TempDir(), o)
		if err != nil {
			t.Fatal(err)
		}
		if !r.Void {
			return r
		}
	}
	t.Log("the machine was too busy four times: no verdict")
	return Result{Void: true}
}

// TestDrawnRuns plays some drawn runs; frostlinkctl coord rehearse plays hundreds.
func TestDrawnRuns(t *testing.T) {
	for _, o := range []Options{{Seed: 1, Members: 3, Relays: 40}, {Seed: 2, Members: 5, Relays: 12}} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			o.TTL, o.Length, o.Fenced = time.Second, 10*time.Second, true
			r := play(t, o)
			for _, f := range r.Violations {
				t.Errorf("%s: %s", f.Check, f.Detail)
			}
			if !r.Void && (r.Grants < 2 || r.Accepted < 20) {
				t.Errorf("%d acts accepted under %d grants: the run says nothing", r.Accepted, r.Grants)
			}
		})
	}
}

// TestStoppedHolder: a holder that is stopped with its act on the way, until the lease is another's, acts upon a resource
// that looks at no token while that one does, and is refused by one that does.
func TestStoppedHolder(t *testing.T) {
	var steps []Step
	for i := range 3 {
		steps = append(steps, Step{At: time.Duration(1+5*i) * time.Second, Kind: "holder stopped in an act"})
	}
	for name, fenced := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, Options{Seed: 7, Members: 3, Relays: 4, TTL: time.Second, Fenced: fenced, Steps: steps})
			overlaps, others := 0, 0
			for _, f := range r.Violations {
				if f.Check == "overlap" {
					overlaps++
				} else if fenced || f.Check != "token" { // without fencing an older token is accepted after a newer one, too
					others++
					t.Errorf("%s: %s", f.Check, f.Detail)
				}
			}
			if !r.Void && fenced != (overlaps == 0) {
				t.Errorf("%d overlaps: %+v", overlaps, r)
			}
		})
	}
}

func TestCheck(t *testing.T) {
	act := func(relay string, token uint64, begin, end int, accepted bool) Execution {
		return Execution{relay, token, time.Duration(begin) * time.Millisecond, time.Duration(end) * time.Millisecond, accepted}
	}
	pause := []Pause{{"a", 100 * time.Millisecond, 900 * time.Millisecond}}
	tests := map[string]struct {
		acts   []Execution
		pauses []Pause
		want   []string
	}{
		"in turn":                          {[]Execution{act("a", 1, 0, 10, true), act("b", 2, 10, 20, true)}, nil, nil},
		"two at once":                      {[]Execution{act("a", 1, 0, 15, true), act("b", 2, 10, 20, true)}, nil, []string{"overlap", "unpaused"}},
		"an old one refused at its end":    {[]Execution{act("a", 1, 150, 250, false), act("b", 2, 200, 260, true)}, pause, nil},
		"the same, and nobody stood still": {[]Execution{act("a", 1, 150, 250, false), act("b", 2, 200, 260, true)}, nil, []string{"unpaused"}},
		"an old one accepted afterwards":   {[]Execution{act("b", 2, 0, 10, true), act("a", 1, 20, 30, true)}, nil, []string{"token"}},
		"a token of two":                   {[]Execution{act("b", 2, 0, 10, true), act("a", 2, 20, 30, true)}, nil, []string{"token"}},
		"a long one under several":         {[]Execution{act("a", 1, 0, 100, true), act("b", 2, 150, 160, true), act("c", 3, 155, 158, true)}, nil, []string{"overlap", "unpaused"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, f := range Check(tt.acts, tt.pauses) {
				got = append(got, f.Check)
			}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

func TestDrawIsTheSameAgain(t *testing.T) {
	a, b := Draw(5, time.Minute, 3, 40), Draw(5, time.Minute, 3, 40)
	if len(a) < 20 || fmt.Sprint(a) != fmt.Sprint(b) {
		t.Errorf("%d steps, and again %d", len(a), len(b))
	}
}
