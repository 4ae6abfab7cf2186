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

// mutant is a fault that is planted in the lease client, the state machine or the replica by
// replacing pieces of source. The command prove has to report it by one of the given checks.
type mutant struct {
	file     string
	edits    []edit
	checks   []string // names of the checks that may report the fault
	maxSeeds int      // maximum number of runs until the fault is reported
}

// edit replaces a piece of source, which must occur exactly once.
type edit struct{ from, to string }

// The files that are mutated.
const (
	clientCore    = "internal/lease/core.go"
	clientActs    = "internal/lease/acts.go"
	clientCalls   = "internal/lease/calls.go"
	clientResults = "internal/lease/results.go"

	machine   = "internal/coord/machine.go"
	sessions  = "internal/coord/session.go"
	leases    = "internal/coord/lease.go"
	snapshots = "internal/coord/snapshot.go"

	proposals    = "internal/coord/replica/proposal.go"
	ready        = "internal/coord/replica/ready.go"
	leadership   = "internal/coord/replica/leadership.go"
	incarnations = "internal/coord/replica/incarnation.go"
)

// persistSource is the source of the step of ProcessReady that saves a batch. advanceSource is the
// source of the step after all messages were sent, which reports the end of the round to the Raft
// library.
const (
	persistSource = "	if err := c.persist(batch, save); err != nil {\n		return false, err\n	}\n"
	advanceSource = "	if hasReady {\n		c.node.Advance(ready)\n"
)

var clientMutants = map[string]mutant{
	"validity counted from the arrival of the response": {
		file:   clientResults,
		edits:  []edit{{"call.sent+c.validity())", "now+c.validity())"}},
		checks: []string{"overlap"}, maxSeeds: 1000,
	},
	"no guard and no bound on clock drift": {
		file:   clientCore,
		edits:  []edit{{"time.Duration(float64(c.cfg.TTL)*(1-2*RateBound)) - c.cfg.Guard", "c.cfg.TTL"}},
		checks: []string{"overlap"}, maxSeeds: 1000,
	},
	"an act is not cancelled at its end": {
		file: clientActs,
		edits: []edit{{
			"if p := c.openActs[id]; now >= p.Until || c.held[p.Lease].Token != p.Token {",
			"if p := c.openActs[id]; c.held[p.Lease].Token != p.Token {",
		}},
		checks: []string{"overlap"}, maxSeeds: 300,
	},
	"released before the act has ended": {
		file:   clientCalls,
		edits:  []edit{{"case r.releasing && held && c.hasOpenAct(name), now < r.notBefore:", "case now < r.notBefore:"}},
		checks: []string{"overlap"}, maxSeeds: 300,
	},
	"a lease is considered held while it is released": {
		file:   clientCalls,
		edits:  []edit{{"	delete(c.held, command.Lease)\n", ""}},
		checks: []string{"overlap", "token"}, maxSeeds: 1000,
	},
	"a session that ended is not reset": {
		file:   clientResults,
		edits:  []edit{{"	if r.Code == coord.CodeNoSession {", "	if false {"}},
		checks: []string{"held", "overlap"}, maxSeeds: 300,
	},
}

var machineMutants = map[string]mutant{
	"a retry is applied twice": {
		file:   machine,
		edits:  []edit{{"case c.Seq == s.Seq:", "case false:"}},
		checks: []string{"linear"}, maxSeeds: 300,
	},
	"sessions expire early": {
		file:   sessions,
		edits:  []edit{{"if s.Deadline <= m.now {", "if s.Deadline-s.TTL/10 <= m.now {"}},
		checks: []string{"overlap", "same"}, maxSeeds: 1000,
	},
	"the last in the queue gets the lease": {
		file: leases,
		edits: []edit{{
			"next := l.Queue[0]\n	l.Queue = slices.Delete(l.Queue, 0, 1)",
			"next := l.Queue[len(l.Queue)-1]\n	l.Queue = l.Queue[:len(l.Queue)-1]",
		}},
		checks: []string{"queue"}, maxSeeds: 300,
	},
	"a revoked lease is free at once": {
		file:   leases,
		edits:  []edit{{"l.RevokedUntil = holder.Deadline", "l.RevokedUntil = m.now"}},
		checks: []string{"overlap"}, maxSeeds: 300,
	},
	"tokens restart after a snapshot": {
		file: snapshots,
		edits: []edit{
			{"data.LastSessionID, data.LastToken, data.Revision", "data.LastSessionID, 0, data.Revision"},
			{"case l.Token > m.lastToken:", "case false:"},
			{"	m.leases[l.Name] = l\n", "	m.leases[l.Name], m.lastToken = l, max(m.lastToken, l.Token)\n"},
		},
		checks: []string{"token", "same"}, maxSeeds: 300,
	},
}

var replicaMutants = map[string]mutant{
	"reads from a leader that may be deposed": {
		file:   proposals,
		edits:  []edit{{"pendingRead{tag: tag})", "pendingRead{tag: tag, index: 1})"}},
		checks: []string{"linear"}, maxSeeds: 1000,
	},
	"answered before it is on disk": {
		file:   ready,
		edits:  []edit{{persistSource, ""}, {advanceSource, persistSource + advanceSource}},
		checks: []string{"linear", "overlap", "token", "same", "panic"}, maxSeeds: 1000,
	},
	"term and vote are not saved": {
		file:   ready,
		edits:  []edit{{"batch.Entries, batch.HardState = ready.Entries, ready.HardState", "batch.Entries = ready.Entries"}},
		checks: []string{"linear", "overlap", "token", "same", "panic"}, maxSeeds: 1000,
	},
	"a deposed leader renews sessions": {
		file: proposals,
		edits: []edit{{
			"	c.queue = append(c.queue, queuedCommand{tag, command})\n",
			"	if command.Op == coord.OpRenew {\n" +
				"		r := c.machine.Apply(c.machine.Index(), coord.Entry{Commands: []coord.Command{command}})\n" +
				"		c.completions = append(c.completions, Completion{Tag: tag, Result: r[0]})\n" +
				"		return true\n	}\n" +
				"	c.queue = append(c.queue, queuedCommand{tag, command})\n",
		}},
		checks: []string{"overlap", "same", "queue", "token"}, maxSeeds: 300,
	},
	"a leader's clock starts before its term": {
		file:   leadership,
		edits:  []edit{{"c.leading, c.lastProposal = true, now", "c.leading = true"}},
		checks: []string{"overlap", "held"}, maxSeeds: 300,
	},
	"time is counted twice": {
		file:   proposals,
		edits:  []edit{{"		c.lastProposal = now\n		c.proposed", "		c.proposed"}},
		checks: []string{"overlap"}, maxSeeds: 300,
	},
	"a restored disk goes unnoticed": {
		file:   incarnations,
		edits:  []edit{{"case e.Kind == KindStale && !slices.Contains(c.incarnations.history, e.Subject):", "case false:"}},
		checks: []string{"disk"}, maxSeeds: 300,
	},
}

// TestProve_CatchesMutants builds this program with each mutant and checks that prove finds the
// fault. The mutated packages need no test hooks for this.
func TestProve_CatchesMutants(t *testing.T) {
	for _, mutants := range []map[string]mutant{clientMutants, machineMutants, replicaMutants} {
		for name, m := range mutants {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				m.mustBeCaught(t)
			})
		}
	}
}

func (m mutant) mustBeCaught(t *testing.T) {
	t.Helper()
	program := m.build(t)
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Minute)
	defer stop()
	run := exec.CommandContext(ctx, program, "prove", "--seeds", strconv.Itoa(m.maxSeeds), "--stop", "--json", "-")
	run.Env = append(os.Environ(), "GOMAXPROCS=2")
	out, err := run.Output()
	var p proof
	if run.ProcessState.ExitCode() != 1 || json.Unmarshal(out, &p) != nil {
		t.Fatalf("prove did not catch the mutant: %v\n%.2000s%.3000s", err, out, stderrOf(err))
	}
	violation := p.Failing[0].Violations[0]
	if !slices.Contains(m.checks, violation.Check) {
		t.Fatalf("caught by an unexpected check, %s: %s", violation.Check, violation.Detail)
	}
	t.Logf("caught by %s after %d runs: %s", violation.Check, p.Runs, violation.Detail)
}

// build builds this program with the mutant's source in place of the original, and returns its path.
func (m mutant) build(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	original := filepath.Join(root, m.file)
	planted, overlay, program := filepath.Join(dir, "planted.go"), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "planted")
	writeFile(t, planted, m.source(t, original))
	raw, err := json.Marshal(map[string]any{"Replace": map[string]string{original: planted}})
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, overlay, string(raw))
	if out, err := exec.Command("go", "build", "-overlay", overlay, "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// source returns the mutated source of a file.
func (m mutant) source(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for _, e := range m.edits {
		if n := strings.Count(text, e.from); n != 1 {
			t.Fatalf("%s contains the source to replace %d times, want once: %s", m.file, n, e.from)
		}
		text = strings.Replace(text, e.from, e.to, 1)
	}
	return text
}

// stderrOf returns what a failed program wrote to standard error, given the error of its run.
func stderrOf(err error) string {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(exit.Stderr)
	}
	return ""
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
