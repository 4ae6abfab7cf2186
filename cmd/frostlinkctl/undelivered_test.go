package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostlink/internal/cli"
	"frostlink/internal/deadletter"
)

// filled is a stopped relay's folder with so many payments that may have run.
func filled(t *testing.T, ids ...string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "kept")
	s, err := deadletter.Open(dir, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	at := time.Now().Add(-time.Hour)
	for _, id := range ids {
		err := s.Put([]deadletter.Message{{Body: []byte("body of " + id), Record: deadletter.Record{
			ID: id, Class: "fee-payment", Tenant: "lahore",
			Destination: 3, State: deadletter.Held, Since: at, Reason: "no rule matches it", Incarnations: []deadletter.Incarnation{{
				ID: id, Relay: "r", AcceptedAt: at,
				Deadline: at, CompletedAt: at, Reason: deadletter.OutcomeUnknown, Status: "undeliverable",
				Attempts: []deadletter.Attempt{{Endpoint: "h", StartedAt: at, Execution: deadletter.ExecutionUnknown}},
			}},
		}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// runTool runs the tool, with its standard input.
func runTool(t *testing.T, in string, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e strings.Builder
	code = run(t.Context(), args, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

func TestUndeliveredCommands(t *testing.T) {
	dir := filled(t, "a", "b", "c")
	operator := filepath.Join(t.TempDir(), "frostlink.toml")
	if err := os.WriteFile(operator, []byte("version = 1\n[undelivered]\nfolder = \""+dir+"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	export := filepath.Join(t.TempDir(), "all.jsonl")
	empty := filled(t)
	for _, c := range []struct {
		args string
		in   string
		code int
		out  string // a part of what is printed
		errs string
	}{
		{"list --folder DIR --may-have-run --class fee-payment", "", cli.ExitOK, "no rule matches it", ""},
		{"list --folder DIR --most 2", "", cli.ExitOK, "a  ", "there is more: --from 3"},
		{"list --folder DIR --state gone", "", cli.ExitError, "", `state: "gone" is none of`},
		{"list --folder DIR/none", "", cli.ExitError, "", "no store"},
		{"list", "", cli.ExitError, "", "which store?"},
		{"list --operator OPERATOR --json", "", cli.ExitOK, `"id": "a"`, ""},
		{"show a --folder DIR --text", "", cli.ExitOK, `"body of a"`, ""},
		{"show a --folder DIR", "", cli.ExitOK, "ran: may", ""},
		{"show z --folder DIR", "", cli.ExitError, "", "no such message"},
		{"stats --folder DIR", "", cli.ExitOK, "3 messages, 27 bytes", ""},
		{"attest a --folder DIR --by Amina", "", cli.ExitError, "", "evidence"},
		{"attest - --folder DIR --by Amina --evidence ledger", "a b\nz\n", cli.ExitFindings, "b: held", "no such message"},
		{"attest a --folder DIR --by Amina --evidence ledger", "", cli.ExitFindings, "", "an attest for it is there already"},
		{"show a --folder DIR", "", cli.ExitOK, "attested by Amina", ""},
		{"discard c --folder DIR", "", cli.ExitError, "", "why"},
		{"discard c --folder DIR --why booked --by Bilal", "", cli.ExitOK, "c: discarded, discarded by Bilal: booked", ""},
		{"resend c --folder DIR", "", cli.ExitFindings, "", "c: it is discarded already"},
		{"hold b --folder DIR --by Bilal", "", cli.ExitOK, "b: held, held by Bilal", ""},
		{"export --folder DIR --to EXPORT", "", cli.ExitOK, "", "3 messages exported, 0 damaged"},
		{"export --folder DIR --to EXPORT", "", cli.ExitError, "", "exists"},
		{"import EXPORT --folder EMPTY", "", cli.ExitOK, "3 messages read, 3 of them news", ""},
		{"import EXPORT --folder EMPTY", "", cli.ExitOK, "3 messages read, 0 of them news", ""},
		{"verify --folder EMPTY", "", cli.ExitOK, "3 messages are whole, 0 faults", ""},
		{"list --folder EMPTY --state discarded", "", cli.ExitOK, "c  ", ""},
	} {
		words := strings.Fields("undelivered " + strings.NewReplacer("OPERATOR", operator, "EXPORT", export, "EMPTY", empty, "DIR", dir).Replace(c.args))
		code, out, errs := runTool(t, c.in, words...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.errs) || c.errs == "" && errs != "" {
			t.Errorf("%s: exit %d\n%s%s", c.args, code, out, errs)
		}
	}
	_, out, _ := runTool(t, "", "undelivered", "show", "a", "--folder", empty, "--json")
	var r deadletter.Record
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Attestations) != 1 || !r.Attestations[0].Used {
		t.Errorf("an attest that came with an import serves here: %+v, %v", r.Attestations, err)
	}
}

// Two tools on one folder, or a tool and a relay: the second gets a clear error, and changes nothing.
func TestTwoOnOneFolder(t *testing.T) {
	dir := filled(t, "a")
	s, err := deadletter.Open(dir, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, args := range []string{"list", "discard a --why booked"} {
		code, out, errs := runTool(t, "", append(append([]string{"undelivered"}, strings.Fields(args)...), "--folder", dir)...)
		if code != cli.ExitError || out != "" || !strings.Contains(errs, "in use by another process") || !strings.Contains(errs, "by its socket") {
			t.Errorf("%s: exit %d, %s%s", args, code, out, errs)
		}
	}
	_ = s.Close()
	if code, out, errs := runTool(t, "", "undelivered", "list", "--folder", dir); code != cli.ExitOK || !strings.Contains(out, "held") {
		t.Errorf("exit %d, %s%s", code, out, errs)
	}
}
