package harness

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// measure has the measurements of the design note made; they want an idle machine, and a minute or two.
var measure = flag.Bool("measure", false, "measure the rig: model on sockets, capacity, punctuality")

// loadScript has one class of service time ms and so many partners without a limit.
func loadScript(t *testing.T, rate, length float64, relays, partners, slots, queue int, ms float64) *scenario.Scenario {
	t.Helper()
	text := fmt.Sprintf("version=1\nname=\"load\"\nlength_s=%v\nrelays=%d\n[relay]\nsockets=20000\nslots=4000\nhold=20000\n[load]\nrate=%v\n"+
		"[clients]\nbody_bytes=200\n[[class]]\nname=\"c\"\naim_s=1\ndeadline_s=3\neffect=\"safe\"\nservice_ms=%v\n", length, relays, rate, ms)
	for i := range partners {
		text += fmt.Sprintf("[[partner]]\nname=\"p%d\"\nshare=1\nslots=%d\nqueue=%d\n", i, slots, queue)
	}
	s, err := scenario.Parse("load", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A partner on sockets does what the arithmetic of its script says, at 0.5, 0.9 and 1.3 of what it can do.
func TestMeasureModelOnSockets(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	const slots, queue, ms = 8, 16, 50
	for _, load := range []float64{0.5, 0.9, 1.3} {
		rate := load * slots / (ms / 1000.0)
		s := loadScript(t, rate, 30, 1, 1, slots, queue, ms)
		r, messages := bare(t, s), s.Messages(scenario.NewRandomStreams(1))
		url := "http://" + r.destinations[0].endpoints[0].addrs[0] + "/inbox"
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
		var mu sync.Mutex
		var work sync.WaitGroup
		full, served, total := 0, 0, 0.0
		for _, m := range messages {
			r.until(t.Context(), m.At)
			r.recordTiming(m.At)
			work.Go(func() {
				k := r.handed(m.Number)
				req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(messageBody(k)))
				req.Header.Set("Request-Id", k.id)
				begun := time.Now()
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				_ = resp.Body.Close()
				mu.Lock()
				defer mu.Unlock()
				if resp.StatusCode == http.StatusOK {
					served++
					total += time.Since(begun).Seconds()
				} else {
					full++
				}
			})
		}
		work.Wait()
		blocked, wait := destination.MMcK(rate, ms/1000.0, slots, slots+queue)
		n := float64(len(messages))
		got, mean := float64(full)/n, total/float64(served)
		throughput := float64(served) / s.Length
		t.Logf("load %.1f: %5.1f/s served (arithmetic %5.1f), %.3f turned away (%.3f), %.1f ms (%.1f ms)", load, throughput,
			rate*(1-blocked), got, blocked, 1000*mean, 1000*wait)
		// The bounds are three standard errors of so many arrivals, correlated over a busy period.
		if math.Abs(got-blocked) > 0.035 || math.Abs(mean/wait-1) > 0.12 || math.Abs(throughput/(rate*(1-blocked))-1) > 0.08 {
			t.Errorf("load %.1f is off the arithmetic", load)
		}
	}
}

// How many messages a second the rig carries on one core, with the simplest relay in a process of its own.
func TestMeasureCapacity(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, rate := range []float64{1000, 2000, 3000, 4000, 5000, 6000} {
		s := loadScript(t, rate, 5, 1, 20, 400, 400, 5)
		res, err := Run(t.Context(), s, Options{Seed: 1, RelayCommand: []string{own}, Env: []string{standInEnv + "=trivial"}})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%5.0f/s asked: %5.0f/s delivered, %d of %d, worth %.3f, %.2f%% of the rig's events late, the latest by %v", rate,
			float64(res.Counts.Delivered)/s.Length, res.Counts.Delivered, res.Counts.Requested, res.DeliveredWeight.Total, 100*res.LateShare, res.MaxLateness)
	}
}

// How punctual the rig is at 120 messages a second with three relays.
func TestMeasurePunctuality(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	s := loadScript(t, 120, 30, 3, 20, 10, 10, 100)
	res, err := Run(t.Context(), s, Options{Seed: 1, RelayCommand: []string{own}, Env: []string{standInEnv + "=trivial"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d events, %.3f%% late, the latest by %v", res.Events, 100*res.LateShare, res.MaxLateness)
	if res.Counts.AttemptsByOutcome[checker.OK] < 3000 {
		t.Errorf("only %d calls", res.Counts.AttemptsByOutcome[checker.OK])
	}
}

// What a backlog of 100,000 messages that is being resent costs fresh traffic: the quiet script with it and without, in
// turn, on the real program.
func TestMeasureBacklog(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	program := realRelay(t)
	const all, seeds = 100_000, 3
	var with, without []float64
	for seed := range int64(seeds) {
		for _, backlog := range []int{0, all} {
			s, err := scenario.Read("../../../scenarios/quiet.toml")
			if err != nil {
				t.Fatal(err)
			}
			s.Relay.Redelivers, s.Relay.DeadLetterBacklog = true, backlog/s.Relays
			s.Relay.Operator = "version = 1\n[undelivered]\nfolder = \"{dir}/undelivered\"\n[[undelivered.rule]]\naction = \"resend\"\nmost = 8\nrate = 100\n"
			res, err := Run(t.Context(), s, Options{Seed: 1 + seed, RelayCommand: []string{program}})
			if err != nil {
				t.Fatal(err)
			}
			if backlog == 0 {
				without = append(without, res.DeliveredWeight.Total)
			} else {
				with = append(with, res.DeliveredWeight.Total)
			}
			t.Logf("seed %d, %6d messages in the stores: worth %.4f, %d resent and delivered, %d breaches, relays' memory %.0f MB", 1+seed, backlog,
				res.DeliveredWeight.Total, res.Undelivered["delivered"], len(res.Violations), res.Processes[0].MemoryMB[quarters-1])
			if len(res.Violations) > 0 {
				t.Errorf("%+v", res.Violations[0])
			}
			if backlog > 0 && res.Undelivered["delivered"] == 0 {
				t.Error("nothing was resent")
			}
		}
	}
	t.Logf("with %.4v, without %.4v", with, without)
}

// realRelay builds the real program.
func realRelay(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "frostlink")
	if out, err := exec.Command("go", "build", "-o", program, "frostlink/cmd/frostlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// What keeping costs beside full traffic, on one core: a third of the traffic is for a partner that is shut, and what is
// refused for it is kept as well.
func TestMeasureKeepingBesideTraffic(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	program := realRelay(t)
	for _, rate := range []float64{900, 1800, 2700} {
		for _, keep := range []bool{false, true} {
			s := loadScript(t, rate, 10, 1, 3, 400, 400, 5)
			s.Relay.MemoryMB, s.Relay.Cores = 192, 1
			s.Faults = []scenario.Fault{{At: 0.5, Kind: "shut", Destination: "p0", Duration: 9}}
			if keep {
				s.Relay.Operator = "version = 1\n[undelivered]\nfolder = \"{dir}/undelivered\"\nrefused = true\n"
			}
			res, err := Run(t.Context(), s, Options{Seed: 1, RelayCommand: []string{program}})
			if err != nil {
				t.Fatal(err)
			}
			kept := 0
			for _, n := range res.Undelivered {
				kept += n
			}
			u := res.Processes[0]
			t.Logf("%4.0f/s, keeping %5v: %6d delivered, worth %.4f, %5.0f a second kept, %.2f s of CPU, %.0f MB, %d breaches, %.2f%% of the rig's events late", rate,
				keep, res.Counts.Delivered, res.DeliveredWeight.Total, float64(kept)/s.Length, u.CPUSeconds, u.MemoryMB[quarters-1], len(res.Violations), 100*res.LateShare)
			for _, b := range res.Violations {
				t.Errorf("%+v", b)
			}
		}
	}
}

// What the door costs, and how long it takes, beside traffic that takes most of the relay's one core: in turn without reads, and
// with ten reads a second and 64 callers that say nothing.
func TestMeasureDoor(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	program := realRelay(t)
	var cost [2][]float64 // CPU a message in µs
	for seed := range int64(4) {
		for scraped := range 2 {
			s := loadScript(t, 4000, 10, 1, 20, 400, 400, 5)
			if scraped == 1 {
				s.Faults = []scenario.Fault{{At: 0.5, Kind: "scrape", Duration: 9, IdleCallers: 64}}
			}
			res, err := Run(t.Context(), s, Options{Seed: 1 + seed, RelayCommand: []string{"taskset", "-c", "0", program}})
			if err != nil {
				t.Fatal(err)
			}
			u := res.Processes[0]
			cost[scraped] = append(cost[scraped], 1e6*u.CPUSeconds/float64(res.Counts.Delivered))
			t.Logf("seed %d, read %3d times: %d delivered, %.1f µs of CPU each, door %.2f ms (half), %.2f ms (99 of 100), %.2f ms at most, %d faults, %.2f%% late",
				1+seed, u.AdminReads, res.Counts.Delivered, cost[scraped][seed], 1000*u.AdminLatency.Median, 1000*u.AdminLatency.P99, 1000*u.AdminLatency.Max, len(res.Failures), 100*res.LateShare)
			for _, f := range res.Failures {
				t.Error(f)
			}
			for _, b := range res.Violations {
				t.Errorf("%+v", b)
			}
		}
	}
	mean := func(v []float64) (sum float64) {
		for _, x := range v {
			sum += x / float64(len(v))
		}
		return sum
	}
	without, with := mean(cost[0]), mean(cost[1])
	t.Logf("CPU a message: %.1f µs without, %.1f µs with: %.3f of it", without, with, with/without)
}
