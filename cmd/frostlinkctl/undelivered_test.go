package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mallowlead/internal/tool"
	"mallowlead/internal/undelivered"
)

// filled is a stopped relay's folder with so many payments that may have run.
func filled(t *testing.T, ids ...string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "kept")
	s, err := undelivered.Open(dir, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	at := time.Now().Add(-time.Hour)
	for _, id := range ids {
		err := s.Put([]undelivered.Kept{{Body: []byte("body of " + id), Record: undelivered.Record{ID: id, Class: "fee-payment", Tenant: "lahore",
			Partner: 3, State: undelivered.Held, Since: at, Why: "no rule matches it", Lives: []undelivered.Life{{ID: id, Relay: "r", Taken: at,
				Expires: at, Over: at, Reason: undelivered.Doubtful, Status: "undeliverable",
				Attempts: []undelivered.Attempt{{Host: "h", Begun: at, Ran: undelivered.May}}}}}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// ctl runs the tool.
func ctl(t *testing.T, in string, args ...string) (code int, out, errs string) {
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
		{"list --folder DIR --may-have-run --class fee-payment", "", tool.ExitFine, "no rule matches it", ""},
		{"list --folder DIR --most 2", "", tool.ExitFine, "a  ", "there is more: --from 3"},
		{"list --folder DIR --state gone", "", tool.ExitFail, "", `state: "gone" is none of`},
		{"list --folder DIR/none", "", tool.ExitFail, "", "no store"},
		{"list", "", tool.ExitFail, "", "which store?"},
		{"list --operator OPERATOR --json", "", tool.ExitFine, `"id": "a"`, ""},
		{"show a --folder DIR --text", "", tool.ExitFine, `"body of a"`, ""},
		{"show a --folder DIR", "", tool.ExitFine, "ran: may", ""},
		{"show z --folder DIR", "", tool.ExitFail, "", "no such message"},
		{"stats --folder DIR", "", tool.ExitFine, "3 messages, 27 bytes", ""},
		{"attest a --folder DIR --by Amina", "", tool.ExitFail, "", "evidence"},
		{"attest - --folder DIR --by Amina --evidence ledger", "a b\nz\n", tool.ExitFound, "b: held", "no such message"},
		{"attest a --folder DIR --by Amina --evidence ledger", "", tool.ExitFound, "", "an attest for it is there already"},
		{"show a --folder DIR", "", tool.ExitFine, "attested by Amina", ""},
		{"discard c --folder DIR", "", tool.ExitFail, "", "why"},
		{"discard c --folder DIR --why booked --by Bilal", "", tool.ExitFine, "c: discarded, discarded by Bilal: booked", ""},
		{"resend c --folder DIR", "", tool.ExitFound, "", "c: it is discarded already"},
		{"hold b --folder DIR --by Bilal", "", tool.ExitFine, "b: held, held by Bilal", ""},
		{"export --folder DIR --to EXPORT", "", tool.ExitFine, "", "3 messages exported, 0 damaged"},
		{"export --folder DIR --to EXPORT", "", tool.ExitFail, "", "exists"},
		{"import EXPORT --folder EMPTY", "", tool.ExitFine, "3 messages read, 3 of them news", ""},
		{"import EXPORT --folder EMPTY", "", tool.ExitFine, "3 messages read, 0 of them news", ""},
		{"verify --folder EMPTY", "", tool.ExitFine, "3 messages are whole, 0 faults", ""},
		{"list --folder EMPTY --state discarded", "", tool.ExitFine, "c  ", ""},
	} {
		words := strings.Fields("undelivered " + strings.NewReplacer("OPERATOR", operator, "EXPORT", export, "EMPTY", empty, "DIR", dir).Replace(c.args))
		code, out, errs := ctl(t, c.in, words...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.errs) || c.errs == "" && errs != "" {
			t.Errorf("%s: exit %d\n%s%s", c.args, code, out, errs)
		}
	}
	_, out, _ := ctl(t, "", "undelivered", "show", "a", "--folder", empty, "--json")
	var r undelivered.Record
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Attests) != 1 || !r.Attests[0].Used {
		t.Errorf("an attest that came with an import serves here: %+v, %v", r.Attests, err)
	}
}

// Two tools on one folder, or a tool and a relay: the second gets a clear error, and changes nothing.
func TestTwoOnOneFolder(t *testing.T) {
	dir := filled(t, "a")
	s, err := undelivered.Open(dir, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, args := range []string{"list", "discard a --why booked"} {
		code, out, errs := ctl(t, "", append(append([]string{"undelivered"}, strings.Fields(args)...), "--folder", dir)...)
		if code != tool.ExitFail || out != "" || !strings.Contains(errs, "in use by another process") || !strings.Contains(errs, "by its socket") {
			t.Errorf("%s: exit %d, %s%s", args, code, out, errs)
		}
	}
	_ = s.Close()
	if code, out, errs := ctl(t, "", "undelivered", "list", "--folder", dir); code != tool.ExitFine || !strings.Contains(out, "held") {
		t.Errorf("exit %d, %s%s", code, out, errs)
	}
}
