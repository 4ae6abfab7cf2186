package harness

import (
	"bytes"
	"flag"
	"math"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// measure enables the measurements of the harness. They need an idle machine, and take a minute or two.
var measure = flag.Bool("measure", false, "measure the harness: model on sockets, capacity, punctuality")

// skipUnlessMeasuring skips a measurement unless the flag -measure is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("needs -measure")
	}
}

// trivialRelay returns options that make a run use the simplest stand-in relay.
func trivialRelay(t *testing.T) Options {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Seed: 1, RelayCommand: []string{program}, Env: []string{standInEnv + "=trivial"}}
}

// modelMeasurement sums up the attempts at a destination on sockets.
type modelMeasurement struct {
	mu               sync.Mutex // guards the fields below
	served, rejected int
	seconds          float64 // latency of all served attempts
}

// A destination on sockets behaves as queueing theory predicts, under loads of 0.5, 0.9 and 1.3 times its capacity.
func TestMeasureModelOnSockets(t *testing.T) {
	skipUnlessMeasuring(t)
	const slots, queue, serviceMS = 8, 16, 50
	for _, load := range []float64{0.5, 0.9, 1.3} {
		rate := load * slots / (serviceMS / 1000.0)
		s := loadScenario(t, rate, 30, 1, 1, slots, queue, serviceMS)
		messages := s.Messages(scenario.NewRandomStreams(1))
		measured := measureModel(t, s, messages)
		blocked, latency := destination.MMcK(rate, serviceMS/1000.0, slots, slots+queue)
		rejectedShare, mean := float64(measured.rejected)/float64(len(messages)), measured.seconds/float64(measured.served)
		throughput, expected := float64(measured.served)/s.Length, rate*(1-blocked)
		t.Logf("load %.1f: %5.1f/s served (theory %5.1f), %.3f rejected (%.3f), %.1f ms (%.1f ms)", load, throughput,
			expected, rejectedShare, blocked, 1000*mean, 1000*latency)
		// The bounds are three standard errors for this number of arrivals, which are correlated within a busy period.
		if math.Abs(rejectedShare-blocked) > 0.035 || math.Abs(mean/latency-1) > 0.12 || math.Abs(throughput/expected-1) > 0.08 {
			t.Errorf("load %.1f deviates from the theory", load)
		}
	}
}

// measureModel sends a destination one attempt for each message, each at the message's time.
func measureModel(t *testing.T, s *scenario.Scenario, messages []*scenario.Message) *modelMeasurement {
	t.Helper()
	h, measured := newHarnessWithoutRelays(t, s), &modelMeasurement{}
	url := "http://" + h.destinations[0].endpoints[0].addrs[0] + "/inbox"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var attempts sync.WaitGroup
	for _, m := range messages {
		h.until(t.Context(), m.At)
		h.recordTiming(m.At)
		attempts.Go(func() { measured.attempt(t, client, url, h.addSubmission(m.Number)) })
	}
	attempts.Wait()
	return measured
}

// attempt makes one attempt.
func (m *modelMeasurement) attempt(t *testing.T, client *http.Client, url string, s *submission) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(messageBody(s)))
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set("Request-Id", s.id)
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		t.Error(err)
		return
	}
	_ = resp.Body.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if resp.StatusCode != http.StatusOK {
		m.rejected++
		return
	}
	m.served++
	m.seconds += time.Since(begun).Seconds()
}

// Measures how many messages a second the harness handles on one core, with the simplest relay in a separate process.
func TestMeasureCapacity(t *testing.T) {
	skipUnlessMeasuring(t)
	options := trivialRelay(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, rate := range []float64{1000, 2000, 3000, 4000, 5000, 6000} {
		s := loadScenario(t, rate, 5, 1, 20, 400, 400, 5)
		result, err := Run(t.Context(), s, options)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%5.0f/s requested: %5.0f/s delivered, %d of %d, weight %.3f, %.2f%% of the harness's events late, the latest by %v",
			rate, float64(result.Counts.Delivered)/s.Length, result.Counts.Delivered, result.Counts.Requested,
			result.DeliveredWeight.Total, 100*result.LateShare, result.MaxLateness)
	}
}

// Measures how punctual the harness is at 120 messages a second with three relays.
func TestMeasurePunctuality(t *testing.T) {
	skipUnlessMeasuring(t)
	s := loadScenario(t, 120, 30, 3, 20, 10, 10, 100)
	result, err := Run(t.Context(), s, trivialRelay(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d events of the harness, %.3f%% late, the latest by %v", result.Events, 100*result.LateShare, result.MaxLateness)
	if result.Counts.AttemptsByOutcome[checker.OK] < 3000 {
		t.Errorf("only %d attempts", result.Counts.AttemptsByOutcome[checker.OK])
	}
}

// redeliveringOperator is an operator's file whose rule redelivers a backlog.
const redeliveringOperator = "version = 1\n[undelivered]\nfolder = \"{dir}/undelivered\"\n" +
	"[[undelivered.rule]]\naction = \"resend\"\nmost = 8\nrate = 100\n"

// Measures how the redelivery of a backlog of 100,000 messages affects fresh traffic: plays the quiet scenario alternately without
// and with the backlog, on the real relay.
func TestMeasureBacklog(t *testing.T) {
	skipUnlessMeasuring(t)
	program := buildRelay(t)
	const all, seeds = 100_000, 3
	var with, without []float64
	for seed := range int64(seeds) {
		for _, backlog := range []int{0, all} {
			s, err := scenario.Read("../../../scenarios/quiet.toml")
			if err != nil {
				t.Fatal(err)
			}
			s.Relay.Redelivers, s.Relay.DeadLetterBacklog, s.Relay.Operator = true, backlog/s.Relays, redeliveringOperator
			result, err := Run(t.Context(), s, Options{Seed: 1 + seed, RelayCommand: []string{program}})
			if err != nil {
				t.Fatal(err)
			}
			if backlog == 0 {
				without = append(without, result.DeliveredWeight.Total)
			} else {
				with = append(with, result.DeliveredWeight.Total)
			}
			t.Logf("seed %d, %6d messages in the stores: weight %.4f, %d redelivered, %d violations, relays' memory %.0f MB", 1+seed,
				backlog, result.DeliveredWeight.Total, result.Undelivered["delivered"], len(result.Violations),
				result.Processes[0].MemoryMB[quarters-1])
			if len(result.Violations) > 0 {
				t.Errorf("%+v", result.Violations[0])
			}
			if backlog > 0 && result.Undelivered["delivered"] == 0 {
				t.Error("nothing was redelivered")
			}
		}
	}
	t.Logf("weight with a backlog %.4v, without %.4v", with, without)
}

// Measures the cost of storing dead letters under full traffic, on one core. A third of the traffic is for a destination that is
// overloaded, and the messages that are rejected for that reason are stored as well.
func TestMeasureDeadLettersBesideTraffic(t *testing.T) {
	skipUnlessMeasuring(t)
	program := buildRelay(t)
	for _, rate := range []float64{900, 1800, 2700} {
		for _, storing := range []bool{false, true} {
			s := loadScenario(t, rate, 10, 1, 3, 400, 400, 5)
			s.Relay.MemoryMB, s.Relay.Cores = 192, 1
			s.Faults = []scenario.Fault{{At: 0.5, Kind: "shut", Destination: "p0", Duration: 9}}
			if storing {
				s.Relay.Operator = "version = 1\n[undelivered]\nfolder = \"{dir}/undelivered\"\nrefused = true\n"
			}
			result, err := Run(t.Context(), s, Options{Seed: 1, RelayCommand: []string{program}})
			if err != nil {
				t.Fatal(err)
			}
			stored := 0
			for _, n := range result.Undelivered {
				stored += n
			}
			usage := result.Processes[0]
			t.Logf("%4.0f/s, storing %5v: %6d delivered, weight %.4f, %5.0f a second stored, %.2f s of CPU, %.0f MB, %d violations, "+
				"%.2f%% of the harness's events late", rate, storing, result.Counts.Delivered, result.DeliveredWeight.Total,
				float64(stored)/s.Length, usage.CPUSeconds, usage.MemoryMB[quarters-1], len(result.Violations), 100*result.LateShare)
			for _, v := range result.Violations {
				t.Errorf("%+v", v)
			}
		}
	}
}

// Measures the CPU cost and the latency of the admin endpoint under traffic that uses most of the relay's one core: alternately
// without reads, and with ten reads a second and 64 callers that send nothing.
func TestMeasureAdminEndpoint(t *testing.T) {
	skipUnlessMeasuring(t)
	program := buildRelay(t)
	var without, with []float64 // CPU time per message in µs
	for seed := range int64(4) {
		without = append(without, measureAdmin(t, program, 1+seed, nil))
		with = append(with, measureAdmin(t, program, 1+seed, []scenario.Fault{{At: 0.5, Kind: "scrape", Duration: 9, IdleCallers: 64}}))
	}
	t.Logf("CPU time per message: %.1f µs without reads, %.1f µs with reads, ratio %.3f", mean(without), mean(with), mean(with)/mean(without))
}

// measureAdmin plays a run on one core, and returns the relay's CPU time for each message in microseconds.
func measureAdmin(t *testing.T, program string, seed int64, scrapes []scenario.Fault) float64 {
	t.Helper()
	s := loadScenario(t, 4000, 10, 1, 20, 400, 400, 5)
	s.Faults = scrapes
	result, err := Run(t.Context(), s, Options{Seed: seed, RelayCommand: []string{"taskset", "-c", "0", program}})
	if err != nil {
		t.Fatal(err)
	}
	usage, latency := result.Processes[0], result.Processes[0].AdminLatency
	cost := 1e6 * usage.CPUSeconds / float64(result.Counts.Delivered)
	t.Logf("seed %d, read %3d times: %d delivered, %.1f µs of CPU each, latency of reads %.2f ms (median), %.2f ms (p99), %.2f ms (maximum), "+
		"%d failures, %.2f%% late", seed, usage.AdminReads, result.Counts.Delivered, cost, 1000*latency.Median, 1000*latency.P99,
		1000*latency.Max, len(result.Failures), 100*result.LateShare)
	for _, f := range result.Failures {
		t.Error(f)
	}
	for _, v := range result.Violations {
		t.Errorf("%+v", v)
	}
	return cost
}

func mean(values []float64) (sum float64) {
	for _, v := range values {
		sum += v / float64(len(values))
	}
	return sum
}
