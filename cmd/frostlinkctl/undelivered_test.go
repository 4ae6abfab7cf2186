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

// newStore creates the store of a stopped relay, with payments that may or may not have been executed.
func newStore(t *testing.T, ids ...string) (folder string) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "kept")
	store, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
	}()
	at := time.Now().Add(-time.Hour)
	for _, id := range ids {
		err := store.Put([]deadletter.Message{{Body: []byte("body of " + id), Record: deadletter.Record{
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
	return folder
}

// The calls depend on one another: each call works on the store in the state in which the previous call left it.
func TestDeadLetterCommands_DecideOnMessages(t *testing.T) {
	folder := newStore(t, "a", "b", "c")
	operator := filepath.Join(t.TempDir(), "frostlink.toml")
	if err := os.WriteFile(operator, []byte("version = 1\n[undelivered]\nfolder = \""+folder+"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	export := filepath.Join(t.TempDir(), "all.jsonl")
	empty := newStore(t)
	for _, tt := range []struct {
		args   string
		stdin  string
		code   int
		stdout string // part of it
		stderr string // part of it; if empty, nothing must be printed
	}{
		{"list --folder DIR --may-have-run --class fee-payment", "", cli.ExitOK, "no rule matches it", ""},
		{"list --folder DIR --most 2", "", cli.ExitOK, "a  ", "there is more: --from 3"},
		{"list --folder DIR --state gone", "", cli.ExitError, "", `state: "gone" is none of`},
		{"list --folder DIR/none", "", cli.ExitError, "", "no store"},
		{"list", "", cli.ExitError, "", "no store given: "},
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
		words := strings.Fields("undelivered " + strings.NewReplacer("OPERATOR", operator, "EXPORT", export, "EMPTY", empty, "DIR", folder).Replace(tt.args))
		t.Run(tt.args, func(t *testing.T) {
			code, out, errs := runTool(t, tt.stdin, words...)
			if code != tt.code || !strings.Contains(out, tt.stdout) || !strings.Contains(errs, tt.stderr) || tt.stderr == "" && errs != "" {
				t.Errorf("exit %d, stdout %q, stderr %q; want exit %d, %q, %q", code, out, errs, tt.code, tt.stdout, tt.stderr)
			}
		})
	}
	_, out, _ := runTool(t, "", "undelivered", "show", "a", "--folder", empty, "--json")
	var record deadletter.Record
	if err := json.Unmarshal([]byte(out), &record); err != nil || len(record.Attestations) != 1 || !record.Attestations[0].Used {
		t.Errorf("an imported attestation can be used for a resend, want it marked as used: %+v, %v", record.Attestations, err)
	}
}

// If another tool or a relay has the folder open, a command reports that and changes nothing.
func TestDeadLetterCommands_RefuseAFolderInUse(t *testing.T) {
	folder := newStore(t, "a")
	store, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, args := range []string{"list", "discard a --why booked"} {
		code, out, errs := runTool(t, "", strings.Fields("undelivered "+args+" --folder "+folder)...)
		if code != cli.ExitError || out != "" || !strings.Contains(errs, "in use by another process") || !strings.Contains(errs, "use its socket") {
			t.Errorf("%s: exit %d, %s%s", args, code, out, errs)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if code, out, errs := runTool(t, "", "undelivered", "list", "--folder", folder); code != cli.ExitOK || !strings.Contains(out, "held") {
		t.Errorf("exit %d, %s%s", code, out, errs)
	}
}
