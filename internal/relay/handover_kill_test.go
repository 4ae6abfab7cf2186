package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// workload is the load of several clients. It records the accepted requests and the faults.
type workload struct {
	mu       sync.Mutex
	accepted map[string]bool
	faults   []string
}

func (l *workload) run(p *platform, name string, stop <-chan struct{}) {
	client := &http.Client{Timeout: waittest.Long, Transport: &http.Transport{}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, i)
		class := []string{"status", "payment", "order"}[i%3]
		r, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/"+class, strings.NewReader("body of "+id))
		if err != nil {
			panic(err)
		}
		r.Header = http.Header{
			"Request-Id": {id}, "Tenant": {"acme"}, "Request-Timeout": {"3"}, "X-Envelope": {"dest=7"},
			"Idempotency-Key": {"key-" + id},
		}
		resp, err := client.Do(r)
		if err != nil {
			if strings.Contains(err.Error(), "refused") {
				l.fault("a connection was refused: " + err.Error())
			}
			continue // the process was killed
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusAccepted {
			l.mu.Lock()
			l.accepted[id] = true
			l.mu.Unlock()
		}
	}
}

func (l *workload) fault(text string) {
	l.mu.Lock()
	l.faults = append(l.faults, text)
	l.mu.Unlock()
}

// Processes replace each other under load, and the predecessor or the successor is killed at random moments: no request has two
// attempts in flight at once, no request that is not idempotent is sent again, every accepted request gets its outcome, and no
// connection is refused.
func TestHandover_KilledAtFiftyRandomMoments(t *testing.T) {
	const rounds = 50
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.shareListener()
	p.addEndpoint("h1", 7)
	p.endpoints[0].Weight = 2000
	random := rand.New(rand.NewPCG(20261201, 18))
	l := &workload{accepted: map[string]bool{}}
	inFlight, executed, answered, twice := map[string]int{}, map[string]int{}, map[string]int{}, map[string]bool{}
	p.begunAttempts = make(chan string, 1<<20)
	p.serveAttempt = func(_ http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		l.mu.Lock()
		inFlight[id]++
		twice[id] = twice[id] || inFlight[id] > 1
		executed[id]++
		pause := time.Duration(random.IntN(30)) * time.Millisecond
		l.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-r.Context().Done(): // the process that made the attempt was killed
		}
		l.mu.Lock()
		if twice[id] { // waits until the attempt of a killed process is cancelled
			l.mu.Unlock()
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
			}
			l.mu.Lock()
		}
		if r.Context().Err() == nil {
			answered[id]++
		}
		inFlight[id]--
		l.mu.Unlock()
	}
	running := p.start()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() { l.run(p, fmt.Sprint("c", i), stop) })
	}
	kinds := map[string]int{}
	for range rounds {
		l.mu.Lock()
		kind, after := random.IntN(3), time.Duration(random.IntN(60_000))*time.Microsecond
		l.mu.Unlock()
		p.addAdminEndpoint()
		next := p.spawn()
		switch kind {
		case 0: // neither process is killed
			kinds["both live"]++
			p.waitFor("the new process serves", next.isServing)
			_ = running.Process.Signal(syscall.SIGTERM)
			<-running.exited
			running = next
		case 1: // the old process is killed, at any point of the hand-over
			kinds["the old one dies"]++
			time.Sleep(after)
			p.kill(running)
			p.waitFor("the new process serves", next.isServing)
			running = next
		case 2: // the new process is killed
			kinds["the new one dies"]++
			time.Sleep(after)
			p.kill(next)
			p.waitFor("the old process serves", running.isServing)
		}
	}
	close(stop)
	clients.Wait()
	p.waitFor("all requests have their outcome", func() bool { return len(readEntries(t, p.dir)) == 0 })
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := map[string]int{}
	for _, n := range p.receivedNotices() {
		ended[n.ID] = 1
	}
	lost, again := 0, 0
	for id := range l.accepted {
		var i int
		_, _ = fmt.Sscanf(id[strings.Index(id, "-"):], "-%d", &i)
		if executed[id]+ended[id] == 0 {
			lost++
		}
		if i%3 == 2 && executed[id] > 1 {
			again++
		}
	}
	for id := range twice {
		// The endpoint may count an attempt of a killed process as in flight until it detects the closed connection, but such
		// an attempt is not answered.
		if twice[id] && answered[id] > 1 {
			l.faults = append(l.faults, "two attempts in flight: "+id)
		}
	}
	for _, f := range l.faults {
		t.Error(f)
	}
	if lost > 0 || again > 0 || len(l.accepted) < rounds {
		t.Errorf("of %d accepted requests %d were lost and %d that are not idempotent were sent again", len(l.accepted), lost, again)
	}
	t.Logf("%v; %d accepted, %d failed", kinds, len(l.accepted), len(ended))
}
