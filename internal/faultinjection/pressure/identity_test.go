package pressure

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"frostlink/internal/journal"
)

const (
	// identitySeed is the seed of the clients' choices.
	identitySeed = 69
	// identityClients is the number of clients, each of which submits identityRequests requests one after another.
	identityClients, identityRequests = 8, 60
)

// leavingClient submits requests of a class that must not be repeated, and mostly leaves: before a request is complete, right after it,
// or with the response unread. It then submits the same request again.
type leavingClient struct {
	address  string
	random   *rand.Rand
	accepted map[string]bool // requests whose 202 it has read
}

// request returns a request, with a body of some size.
func (c *leavingClient) request(id string) string {
	body := strings.Repeat("b", c.random.IntN(6000))
	return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTenant: acme\r\nRequest-Timeout: 8\r\nX-Envelope: dest=%d\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, 1+c.random.IntN(endpointCount), len(body), body)
}

// submit submits a request in one of several ways.
func (c *leavingClient) submit(id, text string) {
	raw, err := net.DialTimeout("tcp", c.address, answerTimeout)
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(answerTimeout)) // fails only on a closed connection
	switch c.random.IntN(6) {
	case 0: // leaves half way
		_, _ = io.WriteString(raw, text[:c.random.IntN(len(text))])
		return
	case 1: // leaves at once
		_, _ = io.WriteString(raw, text)
		return
	case 2: // resets the connection after a moment
		_, _ = io.WriteString(raw, text)
		time.Sleep(time.Duration(c.random.IntN(4000)) * time.Microsecond)
		_ = raw.(*net.TCPConn).SetLinger(0)
		return
	case 3: // sends many requests at once, and leaves with all of them unread
		var batch strings.Builder
		batch.WriteString(text)
		for i := range 30 {
			batch.WriteString(c.request(fmt.Sprintf("%s-unread-%d", id, i)))
		}
		_, _ = io.WriteString(raw, batch.String())
		return
	}
	if _, err := io.WriteString(raw, text); err != nil {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(raw), nil); err == nil && resp.StatusCode == http.StatusAccepted {
		c.accepted[id] = true
	}
}

// run submits requests until the time is over.
func (c *leavingClient) run(prefix string) {
	for i := range identityRequests {
		id := fmt.Sprintf("%s-%d", prefix, i)
		text := c.request(id)
		for range 1 + c.random.IntN(3) {
			c.submit(id, text)
			time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
		}
	}
}

// A request that its client has left unread is not executed. An id that comes again after its client has left, at the same process or at
// its successor, is executed once at most, and what was accepted has its outcome.
func TestRelay_IDRunsOnceHoweverItsClientLeaves(t *testing.T) {
	relay, platform := startRelay(t, smallest)
	platform.ServiceTime = 30 * time.Millisecond
	var clients sync.WaitGroup
	all := make([]*leavingClient, identityClients)
	for i := range all {
		all[i] = &leavingClient{
			address: relay.Address, random: rand.New(rand.NewPCG(identitySeed, uint64(i))), accepted: map[string]bool{},
		}
		clients.Go(func() { all[i].run(fmt.Sprintf("client%d", i)) })
	}
	for range 5 {
		time.Sleep(time.Second)
		start(t, relay)
	}
	clients.Wait()
	var accepted []string
	for _, c := range all {
		for id := range c.accepted {
			accepted = append(accepted, id)
		}
	}
	checkOwed(t, platform, accepted)
	checkExecutions(t, platform)
	checkUsage(t, relay)
	t.Logf("seed %d: %d requests accepted", identitySeed, len(accepted))
}

// submitOnce submits a request on a connection of its own, and returns the status of the response, or 0.
func submitOnce(relay *Relay, class, id string, destination int, body string) int {
	raw, err := net.DialTimeout("tcp", relay.Address, answerTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(answerTimeout)) // fails only on a closed connection
	_, err = fmt.Fprintf(raw, "POST /%s HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTenant: acme\r\nRequest-Timeout: 8\r\nX-Envelope: dest=%d\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, id, destination, len(body), body)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// submitters is the number of clients that submitAll has submit at the same time.
const submitters = 16

// submitAll submits requests of a class that must not be repeated, and returns the ids of those that were accepted.
func submitAll(relay *Relay, prefix string, requests, destination int) (accepted []string) {
	var clients sync.WaitGroup
	var mu sync.Mutex // guards accepted
	for client := range submitters {
		clients.Go(func() {
			for i := client; i < requests; i += submitters {
				id := fmt.Sprintf("%s-%d", prefix, i)
				if submitOnce(relay, "order", id, destination, "") != http.StatusAccepted {
					continue
				}
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return accepted
}

// An id that comes again after its request was completed is not executed again, although the journal is full, was compacted, and the
// process was killed: the journal keeps completed ids as long as copies may come.
func TestRelay_CompletedIDRunsOnceDespiteFullJournal(t *testing.T) {
	relay, platform := newRelay(t, smallest)
	platform.Stuck = map[int]bool{2: true, 3: true, 4: true}
	platform.ServiceTime = time.Millisecond
	start(t, relay)
	completed := submitAll(relay, "completed", 300, 1)
	checkOwed(t, platform, completed)
	rejected := 0
	for i := 0; rejected < 20; i++ { // fills the journal
		if submitOnce(relay, "status", fmt.Sprintf("stuck-%d", i), 2+i%3, largeBody) != http.StatusAccepted {
			rejected++
		}
	}
	filler, compacted := fillUntilCompacted(t, relay)
	t.Logf("%d requests completed before the journal was full, %d then; compacted: %v", len(completed), len(filler), compacted)
	if len(completed) < 200 || len(filler) < minFiller || !compacted {
		t.Fatalf("%d and %d requests were accepted, too few, or the journal was not compacted", len(completed), len(filler))
	}
	if err := relay.Kill(); err != nil {
		t.Fatal(err)
	}
	start(t, relay)
	submitAll(relay, "completed", 300, 1)
	checkOwed(t, platform, filler)
	var repeated []string
	for _, id := range completed {
		if platform.Executions(id) != 1 {
			repeated = append(repeated, id)
		}
	}
	if len(repeated) > 0 {
		t.Errorf("%d of %d requests were not executed once, among them %s", len(repeated), len(completed), repeated[0])
	}
	checkUsage(t, relay)
}

// minFiller is the number of requests that are accepted while the journal is full.
const minFiller = 300

// fillUntilCompacted submits requests to a relay whose journal is full until at least minFiller were accepted and the journal was
// compacted, and returns their ids. It takes a while if there is space for one request at a time.
func fillUntilCompacted(t *testing.T, relay *Relay) (accepted []string, compacted bool) {
	t.Helper()
	file := func() os.FileInfo {
		info, err := os.Stat(filepath.Join(relay.StateDir(), journal.FileName))
		if err != nil {
			t.Fatal(err)
		}
		return info
	}
	first := file()
	const fillTime = 5 * time.Second // less than the deadline of the requests that fill the journal
	for round, end := 0, time.Now().Add(fillTime); time.Now().Before(end) && (len(accepted) < minFiller || !compacted); round++ {
		accepted = append(accepted, submitAll(relay, fmt.Sprintf("filler%d", round), 2*submitters, 1)...)
		compacted = compacted || !os.SameFile(first, file())
		time.Sleep(time.Millisecond) // what was accepted is completed meanwhile
	}
	return accepted, compacted
}

func checkExecutions(t *testing.T, platform *Platform) {
	t.Helper()
	platform.mu.Lock()
	defer platform.mu.Unlock()
	for id, executions := range platform.executed {
		if executions > 1 {
			t.Errorf("%s was executed %d times", id, executions)
		}
		if strings.Contains(id, "-unread-") {
			t.Errorf("%s was executed: its client left it unread", id)
		}
	}
}
