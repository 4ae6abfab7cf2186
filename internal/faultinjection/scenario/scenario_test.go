package scenario

import (
	"math"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func shipped(t testing.TB) map[string]*Scenario {
	t.Helper()
	paths, _ := filepath.Glob("../../../scenarios/*.toml")
	if len(paths) == 0 {
		t.Fatal("no script is shipped")
	}
	all := map[string]*Scenario{}
	for _, p := range paths {
		s, err := Read(p)
		if err != nil {
			t.Fatal(err)
		}
		if s.Name != strings.TrimSuffix(filepath.Base(p), ".toml") {
			t.Errorf("%s is named %q", p, s.Name)
		}
		all[s.Name] = s
	}
	return all
}

func TestShippedScriptsAreWhatRelaysTake(t *testing.T) {
	for name, s := range shipped(t) {
		set := s.RelaySettings(0)
		if _, err := set.Policy(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

const broken = `version = 1
name = "broken"
length_s = 10
relays = 41
coordination = { members = 2 }

[load]
rate = 0
sahpe = "wave"

[[class]]
name = "a"
aim_s = 3
deadline_s = 2
effect = "kept"
service_ms = 100
memory_s = 5

[[partner]]
name = "p"
share = 1
limit = { rate = 5, count = 3 }
tenant = 7

[[partner]]
name = "p"
share = "much"

[[event]]
at_s = 1
what = "refuse"
for_s = 5
partner = "q"
factor = 3

[[event]]
at_s = 11
what = "explode"

[[event]]
at_s = 2
what = "refuse"
for_s = 2
partner = "p"
endpoint = 2

[[event]]
at_s = 3
what = "silent"
partner = "p"
for_s = 1
`

func TestBadScriptNamesEveryLine(t *testing.T) {
	_, err := Parse("b.toml", []byte(broken))
	if err == nil {
		t.Fatal("no error")
	}
	want := []string{
		`b.toml:4: relays: is 41, has to be 1 to 40`,
		`b.toml:5: coordination.members: is 2, has to be 0, 1, 3 or 5`,
		`b.toml:8: load.rate: 0 is not above 0`,
		`b.toml:9: load.sahpe: unknown key (meant "shape"?)`,
		`b.toml:14: class[1].deadline_s: 2 s is before the aim, 3 s`,
		`b.toml:15: class[1].effect: "kept" is none of safe, keyed, unsafe`,
		`b.toml:17: class[1].memory_s: only a keyed class has one`,
		`b.toml:22: partner[1].limit: is either a rate (with a burst) or a count in a span_s, all above 0`,
		`b.toml:23: partner[1].tenant: is the whole number 7, has to be a text`,
		`b.toml:26: partner[2].name: "p" is there twice`,
		`b.toml:27: partner[2].share: is the text "much", has to be a number`,
		`b.toml:33: event[1].partner: "q" is no partner of this script`,
		`b.toml:34: event[1].factor: has no meaning for "refuse"`,
		`b.toml:38: event[2].what: "explode" is none of clock_step, disk_errors, drain, draw, failing, gone, halve, hang, jump, kill, lose, loss, move, pause, refuse, register, replace, reset, scrape, settings, shut, silent, slow, split, standby, syscall_errors, term, upgrade`,
		`b.toml:45: event[3].endpoint: p has endpoints 1 to 1`,
		`b.toml:48: event[4].at_s: overlaps the outage of event[3] at p`,
	}
	if got := strings.Split(err.Error(), "\n"); !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestDrawsRepeat(t *testing.T) {
	s := shipped(t)["quiet"]
	a, b, c := s.Messages(NewRandomStreams(3)), s.Messages(NewRandomStreams(3)), s.Messages(NewRandomStreams(4))
	if !reflect.DeepEqual(a, b) {
		t.Error("the same seed gives other messages")
	}
	if reflect.DeepEqual(a, c) {
		t.Error("another seed gives the same messages")
	}
	if x, y := s.ServiceTime(NewRandomStreams(3), a[5], 2), s.ServiceTime(NewRandomStreams(3), b[5], 2); x != y || x <= 0 {
		t.Errorf("service times %v and %v", x, y)
	}
}

// Drawn traffic has the means that the script states, over many seeds.
func TestDrawsFollowTheScript(t *testing.T) {
	s := shipped(t)["quiet"]
	n, work, perClass, perPartner := 0.0, 0.0, make([]float64, len(s.Classes)), make([]float64, len(s.Destinations))
	const seeds = 20
	for seed := range seeds {
		d := NewRandomStreams(int64(seed))
		for _, m := range s.Messages(d) {
			n++
			perClass[m.Class]++
			perPartner[m.Destination]++
			work += s.ServiceTime(d, m, 0).Seconds()
		}
	}
	near := func(what string, got, want, within float64) {
		t.Helper()
		if math.Abs(got/want-1) > within {
			t.Errorf("%s: %.4g, want %.4g within %v", what, got, want, within)
		}
	}
	near("messages", n, seeds*s.Load.Rate*s.Length, 0.04)
	near("first class", perClass[0]/n, 0.55, 0.02)
	near("first partner", perPartner[0]/n, 0.32, 0.06)
	near("service time", work/n, s.MeanServiceTime(&Destination{ServiceTimeFactor: 1}), 0.03)
}

func FuzzParse(f *testing.F) {
	f.Add(broken)
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse("f", []byte(text)); err == nil && s.Length*s.Load.Rate < 10000 {
			for _, m := range s.Messages(NewRandomStreams(1)) {
				if m.At < 0 || m.At > Seconds(s.Length) {
					t.Fatalf("message at %v", m.At)
				}
			}
		}
	})
}
