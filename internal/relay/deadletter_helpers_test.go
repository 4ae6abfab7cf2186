package relay

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/operatorconfig"
)

// enableDeadLetters makes relays keep dead letters, and returns the store's folder. lines are further lines of the operator's
// section on dead letters.
func (p *platform) enableDeadLetters(lines string) string {
	p.t.Helper()
	folder := filepath.Join(p.t.TempDir(), "deadletters")
	p.operatorPath = filepath.Join(p.t.TempDir(), "frostlink.toml")
	text := "version = 1\n[undelivered]\nfolder = \"" + folder + "\"\n" + lines
	if err := os.WriteFile(p.operatorPath, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return folder
}

// readDeadLetter returns a request from the store of a relay that has ended, and the store's totals. It checks the body.
func (p *platform) readDeadLetter(folder, id string) (*deadletter.Record, *deadletter.Totals) {
	p.t.Helper()
	s, err := deadletter.OpenToRead(folder)
	if err != nil {
		p.t.Fatal(err)
	}
	defer s.Close()
	r, err := s.Get(id)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := s.Body(id)
	if err != nil || string(body) != "body of "+id {
		p.t.Errorf("%s: body %q, %v", id, body, err)
	}
	t, _, err := s.Totals()
	if err != nil {
		p.t.Fatal(err)
	}
	return r, t
}

// journalEntryCount returns how many requests the journal of a running relay holds.
func (p *platform) journalEntryCount() int {
	p.t.Helper()
	j, err := journal.Inspect(p.dir)
	if err != nil {
		p.t.Fatal(err)
	}
	return len(j.Entries())
}

const redeliveryRule = `clients_return = false
[[undelivered.rule]]
action = "resend"
after_s = 0.2
most = 50
rate = 100
`

// redeliveries returns the id of each attempt of a redelivery.
func (p *platform) redeliveries() (ids []string) {
	for _, id := range p.attempts() {
		if strings.HasPrefix(id, "again-") {
			ids = append(ids, id)
		}
	}
	return ids
}

// parcelSubjects are lines of the operator's section on dead letters: requests of class status have their subject, a parcel, and
// their order in headers, and dead letters are redelivered as soon as the rule allows.
const parcelSubjects = "subjects_stick = true\n" + redeliveryRule + `[[undelivered.subject]]
class = "status"
header = "Parcel"
order = "number"
order_header = "Seq"
`

// parcelSection is the section of parcelSubjects, as the store represents it.
var parcelSection = deadletter.Section{
	MaxSubjects: 200_000, StickySubjects: true, SubjectSettlingTime: 600,
	Subjects: []deadletter.Subject{{Class: "status", Header: "Parcel", Order: "number", OrderHeader: "Seq"}},
}

// parcelStatus gives a request a parcel as its subject, and its order.
func parcelStatus(parcel, seq string) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("Parcel", parcel)
		r.Header.Set("Seq", seq)
	}
}

// seedKnownTopics creates a store and a journal as if the relay had run with both for an hour, so that the newest request of
// each topic is known.
func (p *platform) seedKnownTopics(folder string) {
	p.t.Helper()
	s, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		p.t.Fatal(err)
	}
	defer s.Close()
	if err := s.TrackSubjects(&parcelSection, false, time.Now().Add(-time.Hour)); err != nil {
		p.t.Fatal(err)
	}
	id, err := s.ID()
	if err != nil {
		p.t.Fatal(err)
	}
	j, err := journal.Open(p.dir, 3, true)
	if err != nil {
		p.t.Fatal(err)
	}
	j.SetStore(id)
	if err := j.Commit(); err != nil {
		p.t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		p.t.Fatal(err)
	}
}

// mustAcceptStatus submits a request of class status about a parcel, which must be accepted.
func (p *platform) mustAcceptStatus(id, timeout, parcel, seq string) {
	p.t.Helper()
	if resp := p.submit("status", id, timeout, parcelStatus(parcel, seq)); resp.StatusCode != http.StatusAccepted {
		p.t.Fatalf("%s: %s", id, resp.Status)
	}
}

// readStore reads the store of a relay that has ended.
func (p *platform) readStore(folder string, read func(s *deadletter.Store)) {
	p.t.Helper()
	s, err := deadletter.OpenToRead(folder)
	if err != nil {
		p.t.Fatal(err)
	}
	defer s.Close()
	read(s)
}

// readConfigs reads the configuration and the operator's file as a process would.
func readConfigs(t *testing.T, p *platform) *Config {
	t.Helper()
	cfg, err := ReadConfig(p.writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	if cfg.OperatorFile, err = operatorconfig.Read(p.operatorPath); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// hasUnconfirmedDelivery reports whether the journal of a running relay has a request whose delivery is recorded and whose attempt has
// not ended.
func (p *platform) hasUnconfirmedDelivery(id string) bool {
	p.t.Helper()
	j, err := journal.Inspect(p.dir)
	if err != nil {
		p.t.Fatal(err)
	}
	e := j.Entry(id)
	return e != nil && e.Delivered && len(e.Attempts) > 0 && !e.Attempts[len(e.Attempts)-1].Ended
}
