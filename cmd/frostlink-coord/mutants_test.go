package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// mutant is a fault planted in the cores: pieces of their text, each replaced. It has to be caught by one of checks.
type mutant struct {
	file   string
	text   [][2]string
	checks []string
	seeds  int // at most, until it is caught
}

const (
	clientCore    = "internal/lease/core.go"
	clientActs    = "internal/lease/acts.go"
	clientCalls   = "internal/lease/calls.go"
	clientResults = "internal/lease/results.go"

	machine  = "internal/coord/machine.go"
	sessions = "internal/coord/session.go"
	leases   = "internal/coord/lease.go"
	member   = "internal/coord/replica/core.go"
	lives    = "internal/coord/replica/lives.go"
	state    = "internal/coord/snapshot.go"
)

var mutants = map[string]mutant{
	"deadline from the answer's arrival": {clientResults, [][2]string{{"call.sent+c.validity())", "now+c.validity())"}}, []string{"overlap"}, 1000},
	"no guard and no bound on clocks": {
		clientCore,
		[][2]string{{"time.Duration(float64(c.cfg.TTL)*(1-2*RateBound)) - c.cfg.Guard", "c.cfg.TTL"}},
		[]string{"overlap"},
		1000,
	},
	"an act is not cut off at its end": {clientActs, [][2]string{{
		"if p := c.openActs[id]; now >= p.Until || c.held[p.Lease].Token != p.Token {",
		"if p := c.openActs[id]; c.held[p.Lease].Token != p.Token {",
	}}, []string{"overlap"}, 300},
	"given back before the act has ended": {
		clientCalls,
		[][2]string{{"case r.releasing && held && c.hasOpenAct(name), now < r.notBefore:", "case now < r.notBefore:"}},
		[]string{"overlap"},
		300,
	},
	"believed to be held while it is given back": {clientCalls, [][2]string{{"	delete(c.held, command.Lease)\n", ""}}, []string{"overlap", "token"}, 1000},
	"a session that ended is kept":               {clientResults, [][2]string{{"	if r.Code == coord.CodeNoSession {", "	if false {"}}, []string{"held", "overlap"}, 300},
	"a retry is applied twice":                   {machine, [][2]string{{"case c.Seq == s.Seq:", "case false:"}}, []string{"linear"}, 300},
	"sessions end early":                         {sessions, [][2]string{{"if s.Deadline <= m.now {", "if s.Deadline-s.TTL/10 <= m.now {"}}, []string{"overlap", "same"}, 1000},
	"the last who came is next": {leases, [][2]string{{
		"next := l.Queue[0]\n	l.Queue = slices.Delete(l.Queue, 0, 1)",
		"next := l.Queue[len(l.Queue)-1]\n	l.Queue = l.Queue[:len(l.Queue)-1]",
	}}, []string{"queue"}, 300},
	"revoked and free at once": {leases, [][2]string{{"l.RevokedUntil = holder.Deadline", "l.RevokedUntil = m.now"}}, []string{"overlap"}, 300},
	"tokens counted anew after a snapshot": {state, [][2]string{
		{"data.LastSessionID, data.LastToken, data.Revision", "data.LastSessionID, 0, data.Revision"},
		{"case l.Token > m.lastToken:", "case false:"},
		{"	m.leases[l.Name] = l\n", "	m.leases[l.Name], m.lastToken = l, max(m.lastToken, l.Token)\n"},
	}, []string{"token", "same"}, 300},
	"reads from a leader that may be deposed": {member, [][2]string{{"read{tag: tag})", "read{tag: tag, index: 1})"}}, []string{"linear"}, 1000},
	"answered before it is on disk": {
		member,
		[][2]string{
			{"	if !w.empty() {\n		if err := save(w); err != nil {\n			c.fail(err)\n			return false, err\n		}\n	}\n", ""},
			{"	if ready {\n		c.node.Advance(rd)\n", "	if !w.empty() {\n		if err := save(w); err != nil {\n			c.fail(err)\n			return false, err\n		}\n	}\n	if ready {\n		c.node.Advance(rd)\n"},
		},
		[]string{"linear", "overlap", "token", "same", "panic"},
		1000,
	},
	"term and vote are not kept": {
		member,
		[][2]string{{"w.Entries, w.Hard = rd.Entries, rd.HardState", "w.Entries = rd.Entries"}},
		[]string{"linear", "overlap", "token", "same", "panic"},
		1000,
	},
	"a deposed leader renews sessions": {
		member,
		[][2]string{{
			"	c.queue = append(c.queue, queued{tag, command})\n",
			"	if command.Op == coord.OpRenew {\n		r := c.machine.Apply(c.machine.Index(), coord.Entry{Commands: []coord.Command{command}})\n" +
				"		c.answers = append(c.answers, Answer{Tag: tag, Result: r[0]})\n		return true\n	}\n	c.queue = append(c.queue, queued{tag, command})\n",
		}},
		[]string{"overlap", "same", "queue", "token"},
		300,
	},
	"a leader's time begins before its term": {member, [][2]string{{"c.leading, c.base = true, now", "c.leading = true"}}, []string{"overlap", "held"}, 300},
	"time is counted twice":                  {member, [][2]string{{"		c.base = now\n		c.waiting", "		c.waiting"}}, []string{"overlap"}, 300},
	"a disk that was set back goes unnoticed": {
		lives,
		[][2]string{{"case e.Kind == Outdated && !slices.Contains(c.past, e.Of):", "case false:"}},
		[]string{"disk"},
		300,
	},
}

// TestMutants builds this program with each fault planted, and has prove find it. The cores themselves have no hooks.
func TestMutants(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			path := filepath.Join(root, m.file)
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			text := string(raw)
			for _, pair := range m.text {
				if strings.Count(text, pair[0]) != 1 {
					t.Fatalf("%s does not hold once: %s", m.file, pair[0])
				}
				text = strings.Replace(text, pair[0], pair[1], 1)
			}
			planted := filepath.Join(dir, "planted.go")
			overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: planted}})
			if err != nil {
				t.Fatal(err)
			}
			write(t, planted, text)
			write(t, filepath.Join(dir, "overlay.json"), string(overlay))
			program := filepath.Join(dir, "planted")
			if out, err := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, ".").CombinedOutput(); err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			ctx, stop := context.WithTimeout(t.Context(), 4*time.Minute)
			defer stop()
			run := exec.CommandContext(ctx, program, "prove", "--seeds", strconv.Itoa(m.seeds), "--stop", "--json", "-")
			run.Env = append(os.Environ(), "GOMAXPROCS=2")
			out, err := run.Output()
			var p proof
			if run.ProcessState.ExitCode() != 1 || json.Unmarshal(out, &p) != nil {
				t.Fatalf("not caught: %v\n%.2000s%.3000s", err, out, stderr(err))
			}
			found := p.Failing[0].Faults[0]
			if !slices.Contains(m.checks, found.Check) {
				t.Fatalf("caught by %s: %s", found.Check, found.What)
			}
			t.Logf("caught by %s after %d runs: %s", found.Check, p.Plays, found.What)
		})
	}
}

// stderr is what a program that failed wrote there.
func stderr(err error) string {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(exit.Stderr)
	}
	return ""
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
