package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostlink/internal/cli"
	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/faultinjection/faults"
)

// Invalid arguments are reported in one line, before any member is called.
func TestServiceCommands_RejectBadCalls(t *testing.T) {
	folder := t.TempDir()
	operator, junk := filepath.Join(folder, "frostlink.toml"), filepath.Join(folder, "junk.json")
	for path, text := range map[string]string{operator: "version = 1\n", junk: `{"a":1}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const service = " --cluster c --member 1=127.0.0.1:1"
	for _, tt := range []struct{ args, want string }{
		{"coord status", "--cluster and --member, or --operator, must be given"},
		{"coord status --cluster c", "--cluster and --member, or --operator, must be given"},
		{"lease list --cluster c --member x", "--member: "},
		{"lease show", "accepts 1 arg(s), received 0"},
		{"export check --cluster c", `"folder" not set`},
		{"export cat --folder x", "--cluster and --member, or --operator, must be given"},
		{"coord members --operator " + operator, "coordination: the section is absent"},
		{"coord add 4" + service, "4"},
		{"coord remove 0" + service, `"0" is not a valid member id`},
		{"coord remove x" + service, `"x" is not a valid member id`},
		{"coord measure --sessions 2001" + service, "--sessions: 2001 is not from 1 to 2000"},
		{"coord measure --leases 0" + service, "--leases: 0 is not from 1 to "},
		{"coord measure --for 2m" + service, "--for: 2m0s is not above 0 and at most 1m0s"},
		{"coord fault-run --runs 1001", "--runs: 1001 is not from 1 to 1000"},
		{"coord fault-run --relays 301", "--relays: 301 is not from 2 to 300"},
		{"coord fault-run --members 4", "--members: 4 is not 1, 3 or 5"},
		{"coord fault-run --beside 0", "--beside: 0 is not from 1 to 16"},
		{"coord fault-run --ttl 2m", "--ttl: 2m0s is not from 500ms to 1m"},
		{"coord verify " + filepath.Join(folder, "none"), "no such file"},
	} {
		t.Run(tt.args, func(t *testing.T) {
			code, out, errs := runTool(t, "", strings.Fields(tt.args)...)
			if code != cli.ExitError || out != "" || !strings.Contains(errs, tt.want) || strings.Count(errs, "\n") != 1 {
				t.Errorf("exit %d, stdout %q, stderr %q; want one line with %q", code, out, errs, tt.want)
			}
		})
	}
	if code, out, errs := runTool(t, "", "coord", "verify", junk); code != cli.ExitFindings || !strings.HasPrefix(out, junk+": ") || errs != "" {
		t.Errorf("verify of a file that is not a snapshot: exit %d, stdout %q, stderr %q", code, out, errs)
	}
}

func TestPrintStatuses_NamesWhatIsWrong(t *testing.T) {
	member := func(id uint64, role coord.Role, change func(*memberStatus)) memberStatus {
		m := memberStatus{Member: coord.Member{ID: id, Address: "h"}, Status: api.Status{Member: coord.Status{ID: id, Role: role}}}
		if change != nil {
			change(&m)
		}
		return m
	}
	for _, tt := range []struct {
		name     string
		statuses []memberStatus
		want     string // part of the output
		found    bool
	}{
		{"no problem", []memberStatus{member(1, coord.RoleLeader, nil), member(2, coord.RoleFollower, nil)}, "leader", false},
		{"nobody leads", []memberStatus{member(1, coord.RoleFollower, nil)}, "0 members say that they lead", true},
		{"two lead", []memberStatus{member(1, coord.RoleLeader, nil), member(2, coord.RoleLeader, nil)}, "2 members say that they lead", true},
		{"one can't be reached", []memberStatus{
			member(1, coord.RoleLeader, nil), member(2, "", func(m *memberStatus) { m.Error = "refused" }),
		}, "refused", true},
		{"one has failed", []memberStatus{
			member(1, coord.RoleLeader, nil), member(2, coord.RoleFailed, func(m *memberStatus) { m.Status.Member.Detail = "disk full" }),
		}, "disk full", true},
		{"one has not acknowledged another", []memberStatus{
			member(1, coord.RoleLeader, func(m *memberStatus) {
				m.Status.Member.Peers = []coord.Peer{{ID: 2, Acknowledged: true}, {ID: 3}}
			}),
		}, "3", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			err := printStatuses(&out, tt.statuses)
			if errors.Is(err, cli.ErrFindings) != tt.found || !strings.Contains(out.String(), tt.want) {
				t.Errorf("%v, printed %q; want %q", err, out.String(), tt.want)
			}
		})
	}
}

// Violations in an inconclusive run are printed, but are not a failure.
func TestFaultRuns_InconclusiveRunIsNoFailure(t *testing.T) {
	violations := []faults.Violation{{Check: "overlap", Detail: "two holders"}}
	passed, inconclusive, failed := faults.Result{Seed: 1, TakeoverSeconds: []float64{3, 1, 2}}, faults.Result{Seed: 2, Void: true, Violations: violations},
		faults.Result{Seed: 3, Violations: violations, Dir: "dir"}
	if (faultRuns{passed, inconclusive}).failed() || !(faultRuns{passed, inconclusive, failed}).failed() {
		t.Error("failed must be true exactly for conclusive runs with violations")
	}
	var out strings.Builder
	faultRuns{passed, inconclusive, failed}.print(&out)
	for _, want := range []string{
		"kept", "void", "failed", "seed 3: overlap: two holders (dir)\n", "from a holder's death to the next act, 3 times: p50 2.00 s, p99 2.00 s, most 3.00 s\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("printed %q, want %q", out.String(), want)
		}
	}
}
