package relay

import (
	"net"
	"strings"
	"testing"
	"time"

	"frostlink/internal/journal"
)

// A relay that can't listen ends with an error before it makes any attempt.
func TestRun_FailsWhenItCannotListen(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	j := openEarlierJournal(t, p.dir)
	j.Accept(&journal.Entry{ID: "m", Class: "status", Destination: 7, Deadline: j.Timeline().Now().Add(time.Minute)})
	mustCommit(t, j)
	occupied, err := net.Listen("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	cfg, err := ReadConfig(p.writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(t.Context(), cfg, p.dir, nil); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("error %v", err)
	}
	if e := readEntries(t, p.dir); len(e) != 1 || len(e[0].Attempts) != 0 {
		t.Errorf("the journal was changed: %v", e)
	}
}
