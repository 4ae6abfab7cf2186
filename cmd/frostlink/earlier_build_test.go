package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"frostlink/internal/discovery"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/notification"
)

// earlierProgram is the relay program of an earlier build. If the flag is given, the test uses this program to record the
// content of earlierFolder again.
var earlierProgram = flag.String("earlier-program", "", "record the earlier build's folder again with this relay `program`")

const (
	// earlierFolder contains two files: journal, which a relay built from commit 1723f68 left when it was killed, and
	// killed_at, the time at which it was killed, in nanoseconds of Unix time.
	earlierFolder = "testdata/golden/earlier-build"
	// downtime is the time between the kill of the earlier process and the start of the next one.
	downtime = time.Second
	// requestTimeout is the time limit that the client sets for the delivery of each request.
	requestTimeout = 8 * time.Second
	// outcomeWithin is the maximum time in which the next process completes the requests that the earlier one had accepted.
	outcomeWithin = 20 * time.Second
)

// earlierSettings has one class for each kind of idempotency.
const earlierSettings = `{"az":0,"categories":[
 {"name":"status","aim_s":2,"deadline_s":30,"idempotency":"retryable","group":"all","points":1},
 {"name":"payment","aim_s":2,"deadline_s":30,"idempotency":"dedup","group":"all","memory_span_s":25,"points":2},
 {"name":"order","aim_s":2,"deadline_s":30,"idempotency":"fragile","group":"all","points":1}],
 "discovery":"subscribe","limits":{"cancel":true,"conn_idle_s":10,"connect_timeout_s":1,"max_attempts":12,
 "max_open":50,"max_retry_after_s":3,"retry_after":true},"localities":["a"],"n_instances":1,"quantum_s":0.002,
 "rules":{"cold_share":0.2,"overload_factor":2.5,"overload_for_s":1.5,"ramp_time_s":10},"shapes":["m2"],
 "specifics":{"bundle_max":[1],"loses_worth":"linear","max_calls":8,"separate_routes":[false]},
 "tenants":[{"name":"acme"}],"weights":"nominal"}`

// The destinations of the requests. While the earlier process runs, the endpoint of refusedDestination refuses connections.
const (
	orderDestination = iota + 7
	statusDestination
	paymentDestination
	refusedDestination
)

// earlierRequest is a request that is submitted to the earlier process.
type earlierRequest struct {
	id, class, key string
	destination    int
}

// earlierRequests are submitted in this order. The id of each names its state when the earlier process is killed: delivered,
// failed, open (an attempt is in flight) or refused (the endpoint refuses connections).
var earlierRequests = []earlierRequest{
	{id: "delivered-order", class: "order", destination: orderDestination},
	{id: "failed-order", class: "order", destination: orderDestination},
	{id: "open-order", class: "order", destination: orderDestination},
	{id: "open-status", class: "status", destination: statusDestination},
	{id: "open-payment", class: "payment", key: "k1", destination: paymentDestination},
	{id: "refused-status", class: "status", destination: refusedDestination}, // last, right before the kill, because its number of attempts is limited
}

// A relay of this build continues with the folder of a killed relay of an earlier build. It delivers requests that were not
// executed or are idempotent. It sends a notice for the outcome that the platform had not acknowledged, and for requests that
// may have been executed. The latter include the request with an idempotency key: the folder was written in another boot of
// the machine, so the time since the attempt, and thus whether the key is still valid, is not known. The relay makes no
// attempt for a request that was delivered.
func TestRelay_ContinuesFolderOfEarlierBuild(t *testing.T) {
	if _, err := exec.LookPath("gcc"); err != nil {
		t.Skip("external linking and the library that shifts the wall clock need a C compiler: ", err)
	}
	if *earlierProgram != "" {
		recordEarlierFolder(t)
	}
	dir, state := t.TempDir(), t.TempDir()
	buildRelay(t, dir)
	p := newEarlierPlatform(t)
	killedAt := copyEarlierFolder(t, state)
	address := p.startRelay(t, filepath.Join(dir, "frostlink"), state, wallClockAt(t, dir, killedAt.Add(downtime))...)

	// A completed request that is submitted again is acknowledged as accepted, but not attempted.
	p.submit(t, address, earlierRequests[0])

	want := earlierOutcomes{
		Attempts: []string{"open-status status=200 key=", "refused-status status=200 key="},
		Notices:  []string{"failed-order undeliverable", "open-order undeliverable", "open-payment deferred"},
	}
	var got earlierOutcomes
	for until := time.Now().Add(outcomeWithin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if got = p.outcomes(); got.isComplete(want) {
			break
		}
	}
	time.Sleep(500 * time.Millisecond) // time for unwanted attempts and notices to arrive
	if diff := cmp.Diff(want, p.outcomes()); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// earlierOutcomes are the attempts that reached endpoints and the notices that reached the platform, sorted.
type earlierOutcomes struct{ Attempts, Notices []string }

func (o earlierOutcomes) isComplete(want earlierOutcomes) bool {
	return len(o.Attempts) >= len(want.Attempts) && len(o.Notices) >= len(want.Notices)
}

// earlierPlatform is a stand-in for the discovery service, the platform's receiver of notices, and the endpoints.
type earlierPlatform struct {
	discovery *httptest.Server
	endpoint  *httptest.Server
	refusing  string        // an address that refuses connections, for refusedDestination; if empty, that destination has the same endpoint as the others
	closing   chan struct{} // closed when the test ends, which ends open attempts and watches

	mu       sync.Mutex
	earlier  bool // true while the earlier process runs: attempts hang or fail according to their request's id, and no notice is acknowledged
	attempts []string
	notices  []string
}

func newEarlierPlatform(t *testing.T) *earlierPlatform {
	t.Helper()
	p := &earlierPlatform{closing: make(chan struct{})}
	p.discovery = httptest.NewServer(http.HandlerFunc(p.serveDiscovery))
	p.endpoint = httptest.NewServer(http.HandlerFunc(p.serveAttempt))
	t.Cleanup(func() {
		close(p.closing)
		p.discovery.Close()
		p.endpoint.Close()
	})
	return p
}

// outcomes returns the attempts and notices received so far.
func (p *earlierPlatform) outcomes() earlierOutcomes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return earlierOutcomes{Attempts: slices.Sorted(slices.Values(p.attempts)), Notices: slices.Sorted(slices.Values(p.notices))}
}

func (p *earlierPlatform) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	p.mu.Lock()
	earlier := p.earlier
	p.mu.Unlock()
	status := http.StatusOK
	switch {
	case earlier && strings.HasPrefix(id, "open-"):
		p.note(&p.attempts, id+" open")
		select {
		case <-p.closing:
		case <-r.Context().Done():
		}
		return
	case earlier && strings.HasPrefix(id, "failed-"):
		status = http.StatusInternalServerError
	}
	p.note(&p.attempts, fmt.Sprintf("%s status=%d key=%s", id, status, r.Header.Get("Idempotency-Key")))
	w.WriteHeader(status)
}

func (p *earlierPlatform) note(list *[]string, line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, line)
}

func (p *earlierPlatform) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		p.serveNotices(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(p.endpointList())
	_ = http.NewResponseController(w).Flush()
	select {
	case <-p.closing:
	case <-r.Context().Done():
	}
}

// serveNotices receives notices, and acknowledges them unless the earlier process runs.
func (p *earlierPlatform) serveNotices(w http.ResponseWriter, r *http.Request) {
	lines := json.NewDecoder(r.Body)
	for {
		var n notification.Notice
		if err := lines.Decode(&n); err != nil {
			break
		}
		p.note(&p.notices, n.ID+" "+n.Status)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.earlier {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *earlierPlatform) endpointList() discovery.EndpointList {
	list := discovery.EndpointList{Seq: 40, Full: true}
	for destination := orderDestination; destination <= refusedDestination; destination++ {
		e := discovery.Endpoint{
			ID: fmt.Sprint("h", destination), Address: strings.TrimPrefix(p.endpoint.URL, "http://"), Zone: "a", Kind: "m2",
			Destination: destination, Health: "SERVING", Weight: 50,
		}
		if destination == refusedDestination && p.refusing != "" {
			e.Address = p.refusing
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}

// startRelay starts a relay on a folder, waits until it is healthy, and returns its address. The relay is killed when the test
// ends.
func (p *earlierPlatform) startRelay(t *testing.T, program, state string, env ...string) (address string) {
	t.Helper()
	address, _ = p.startProcess(t, program, state, env...)
	return address
}

func (p *earlierPlatform) startProcess(t *testing.T, program, state string, env ...string) (string, *exec.Cmd) {
	t.Helper()
	address := unusedAddress(t)
	known, err := json.Marshal(p.endpointList())
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":%s,"settings":%s}`,
		address, strings.TrimPrefix(p.discovery.URL, "http://"), known, earlierSettings)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG="+config, "NODE_STATE="+state), env...)
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			t.Logf("the relay's log: %s", log.String())
		}
	})
	awaitHealthy(t, address)
	return address, cmd
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// submit submits a request, and fails the test if it is not accepted.
func (p *earlierPlatform) submit(t *testing.T, address string, r earlierRequest) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/"+r.class, strings.NewReader("the body of "+r.id))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Tenant", "acme")
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", requestTimeout.Seconds()))
	req.Header.Set("X-Envelope", fmt.Sprintf("dest=%d", r.destination))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		t.Fatalf("request %s not accepted: %s", r.id, resp.Status)
	}
}

// wallClockAt returns environment variables with which the wall clock of a process begins at the given time.
func wallClockAt(t *testing.T, dir string, at time.Time) []string {
	t.Helper()
	library, err := faults.BuildWallClockLibrary(dir)
	if err != nil {
		t.Fatal(err)
	}
	clock, err := faults.NewWallClock(library, filepath.Join(dir, "wall-clock-offset"))
	if err != nil {
		t.Fatal(err)
	}
	if err := clock.Step(time.Until(at)); err != nil {
		t.Fatal(err)
	}
	return append(clock.Env(), faults.Preload(clock.Library()))
}

// copyEarlierFolder copies the earlier build's journal into state, and returns when its process was killed.
func copyEarlierFolder(t *testing.T, state string) (killedAt time.Time) {
	t.Helper()
	journal, err := os.ReadFile(filepath.Join(earlierFolder, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(state, "journal"), journal, 0o600); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(earlierFolder, "killed_at"))
	if err != nil {
		t.Fatal(err)
	}
	nanoseconds, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Unix(0, nanoseconds)
}

// recordEarlierFolder submits the requests to a relay of an earlier build, kills it, and stores its journal in earlierFolder.
func recordEarlierFolder(t *testing.T) {
	t.Helper()
	p := newEarlierPlatform(t)
	p.earlier, p.refusing = true, unusedAddress(t)
	state := t.TempDir()
	address, cmd := p.startProcess(t, *earlierProgram, state)
	for _, r := range earlierRequests {
		p.submit(t, address, r)
		time.Sleep(100 * time.Millisecond) // until the request is in the state that its id names
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	killedAt := time.Now()
	journal, err := os.ReadFile(filepath.Join(state, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(earlierFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(earlierFolder, "journal"), ofAnotherBoot(t, journal), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(earlierFolder, "killed_at"), fmt.Appendln(nil, killedAt.UnixNano()), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Logf("recorded: %v", p.outcomes())
}

// ofAnotherBoot returns a copy of the journal whose anchor names a boot that never happened, so that the next process has to
// use the wall clock on any machine that the test runs on. Apart from the boot id, only the checksum of that record changes.
func ofAnotherBoot(t *testing.T, journal []byte) []byte {
	t.Helper()
	const header, checksumAt = 12, 8
	end := header + int(binary.BigEndian.Uint32(journal)) + int(binary.BigEndian.Uint32(journal[4:]))
	anchor := regexp.MustCompile(`"boot":"[^"]*"`).FindIndex(journal[:end])
	if anchor == nil {
		t.Fatal("the journal does not begin with an anchor")
	}
	changed := bytes.Clone(journal)
	for i := anchor[0] + len(`"boot":"`); i < anchor[1]-1; i++ {
		changed[i] = '0'
	}
	table := crc32.MakeTable(crc32.Castagnoli)
	sum := crc32.Update(crc32.Checksum(changed[:checksumAt], table), table, changed[header:end])
	binary.BigEndian.PutUint32(changed[checksumAt:], sum)
	return changed
}
