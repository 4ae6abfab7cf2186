package trace

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

func TestParse_ReadsWhatRecordWrote(t *testing.T) {
	var log bytes.Buffer
	r := New(&Section{Log: true}, &log)
	want := Event{Kind: AttemptEnded, ID: "a", Destination: 3, Endpoint: "h", Outcome: Delivered, Count: 1, DurationMs: 41.5, RemainingFraction: 0.4, RateLimit: 25, NewConn: true}
	r.Record(1500*time.Millisecond, want)
	want.Version, want.At = Version, 1500
	got, ok, err := Parse(append([]byte("0.014 "), log.Bytes()...)) // the platform writes its own time in front
	if !ok || err != nil || got != want {
		t.Errorf("got %+v, %v, %v; want %+v", got, ok, err, want)
	}
}

func TestParse_SaysWhatCannotBeUsed(t *testing.T) {
	for line, want := range map[string]struct{ ok, bad bool }{
		"0.014 2026/12/01 WARN watch ended":           {false, false},
		`{"trace":1,"at":15,"ev":"send","dest":`:      {true, true},
		`{"trace":2,"at":15,"ev":"send","dest":1}`:    {true, true},
		`{"trace":1,"at":-15,"ev":"send","dest":1}`:   {true, true},
		`{"trace":1,"at":2e15,"ev":"send","dest":1}`:  {true, true},
		`{"trace":1,"at":15,"ev":"send","dest":1}`:    {true, false},
		`{"trace":1,"at":"15","ev":"send","dest":1}`:  {true, true},
		`{"trace":1,"at":15,"ev":"send","dest":1} {}`: {true, true},
	} {
		t.Run(line, func(t *testing.T) {
			if _, ok, err := Parse([]byte(line)); ok != want.ok || (err != nil) != want.bad {
				t.Errorf("got ok %v, error %v", ok, err)
			}
		})
	}
	var version VersionError
	if _, _, err := Parse([]byte(`{"trace":2,"at":15,"ev":"send","dest":1}`)); !errors.As(err, &version) || version != 2 {
		t.Errorf("parsing a line of version 2: error %v", err)
	}
}

func TestNew_RecordsNothingUnlessTheSectionAsksForIt(t *testing.T) {
	var log bytes.Buffer
	New(nil, &log).Record(0, Event{})
	if log.Len() > 0 {
		t.Errorf("without a section, the recorder wrote %q", log.Bytes())
	}
	if New(&Section{}, &log) != nil {
		t.Error("New returned a recorder although the section does not turn the trace on")
	}
}

// Digests must not change, because the digests of a trace are compared with those that other relays and other versions wrote.
func TestDigest_OfEqualKeysIsEqual(t *testing.T) {
	for key, want := range map[string]string{"": "", "a": "ca978112ca1bbdca", "b": "3e23e8160039594a"} {
		if got := Digest(key); got != want {
			t.Errorf("digest of %q is %s, want %s", key, got, want)
		}
	}
}
