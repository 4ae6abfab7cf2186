package scenario

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// readShipped reads all scenarios of the repository and returns them by name.
func readShipped(tb testing.TB) map[string]*Scenario {
	tb.Helper()
	paths, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil {
		tb.Fatal(err)
	}
	if len(paths) == 0 {
		tb.Fatal("the repository has no scenario")
	}
	scenarios := map[string]*Scenario{}
	for _, path := range paths {
		s, err := Read(path)
		if err != nil {
			tb.Fatal(err)
		}
		if s.Name != strings.TrimSuffix(filepath.Base(path), ".toml") {
			tb.Errorf("%s: got name %q, want the name of the file", path, s.Name)
		}
		scenarios[s.Name] = s
	}
	return scenarios
}

const scenarioWithMistakes = `version = 1
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

func TestParse_ReportsEveryMistakeWithItsLine(t *testing.T) {
	_, err := Parse("b.toml", []byte(scenarioWithMistakes))
	if err == nil {
		t.Fatal("Parse returned no error")
	}
	want := []string{
		`b.toml:4: relays: is 41, must be from 1 to 40`,
		`b.toml:5: coordination.members: is 2, must be 0, 1, 3 or 5`,
		`b.toml:8: load.rate: 0 is not above 0`,
		`b.toml:9: load.sahpe: unknown key (meant "shape"?)`,
		`b.toml:14: class[1].deadline_s: 2 s is less than aim_s, 3 s`,
		`b.toml:15: class[1].effect: "kept" is not one of safe, keyed, unsafe`,
		`b.toml:17: class[1].memory_s: only allowed with effect = "keyed"`,
		`b.toml:22: partner[1].limit: must be either a rate (with an optional burst) or a count with a span_s, all above 0`,
		`b.toml:23: partner[1].tenant: is the whole number 7, has to be a text`,
		`b.toml:26: partner[2].name: "p" is used twice`,
		`b.toml:27: partner[2].share: is the text "much", has to be a number`,
		`b.toml:33: event[1].partner: "q" is not a partner of this scenario`,
		`b.toml:34: event[1].factor: not allowed for "refuse"`,
		`b.toml:38: event[2].what: "explode" is not one of clock_step, crowd, disk_errors, drain, draw, early_end, extra_response, failing, gone, halve, hang, jump, kill, lose, loss, move, pause, refuse, register, replace, reset, scrape, settings, shut, silent, slow, split, standby, syscall_errors, term, upgrade`,
		`b.toml:45: event[3].endpoint: out of range: p has endpoints 1 to 1`,
		`b.toml:48: event[4].at_s: overlaps the outage of event[3] at p`,
	}
	if got := strings.Split(err.Error(), "\n"); !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func FuzzParse(f *testing.F) {
	f.Add(scenarioWithMistakes)
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse("f", []byte(text)); err == nil && s.Length*s.Load.Rate < 10000 {
			for _, m := range s.Messages(NewRandomStreams(1)) {
				if m.At < 0 || m.At > Seconds(s.Length) {
					t.Fatalf("message at %v, which is outside the run", m.At)
				}
			}
		}
	})
}
