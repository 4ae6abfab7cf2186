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

// load hands messages in from several clients until it is stopped, and notes which were taken on.
type load struct {
	mu       sync.Mutex
	accepted map[string]bool
	faults   []string
}

func (l *load) run(p *platform, name string, stop <-chan struct{}) {
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
			continue // its process was killed
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusAccepted {
			l.mu.Lock()
			l.accepted[id] = true
			l.mu.Unlock()
		}
	}
}

func (l *load) fault(text string) {
	l.mu.Lock()
	l.faults = append(l.faults, text)
	l.mu.Unlock()
}

// Processes replace each other under load, and either is killed at drawn moments: no message has two attempts out at once,
// none of an unsafe class is sent again, none that was taken on is left without its end, and no connection is refused.
func TestHandover_KilledAtFiftyRandomMoments(t *testing.T) {
	const rounds = 50
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.shareListener()
	p.addEndpoint("h1", 7)
	p.endpoints[0].Share = 2000
	chance := rand.New(rand.NewPCG(20261201, 18))
	l := &load{accepted: map[string]bool{}}
	out, ran, answered, twice := map[string]int{}, map[string]int{}, map[string]int{}, map[string]bool{}
	p.begunAttempts = make(chan string, 1<<20)
	p.serveAttempt = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		l.mu.Lock()
		out[id]++
		twice[id] = twice[id] || out[id] > 1
		ran[id]++
		pause := time.Duration(chance.IntN(30)) * time.Millisecond
		l.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-r.Context().Done(): // its process was killed
		}
		l.mu.Lock()
		if twice[id] { // whichever process was killed is seen to be by then
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
		out[id]--
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
		kind, after := chance.IntN(3), time.Duration(chance.IntN(60_000))*time.Microsecond
		l.mu.Unlock()
		p.addAdminEndpoint()
		next := p.spawn()
		switch kind {
		case 0: // nobody dies
			kinds["both live"]++
			p.waitFor("the new process takes clients", next.isServing)
			_ = running.Process.Signal(syscall.SIGTERM)
			<-running.exited
			running = next
		case 1: // the old one dies, wherever the hand-over stands
			kinds["the old one dies"]++
			time.Sleep(after)
			p.kill(running)
			p.waitFor("the new process takes clients", next.isServing)
			running = next
		case 2: // the new one does
			kinds["the new one dies"]++
			time.Sleep(after)
			p.kill(next)
			p.waitFor("the old process takes clients", running.isServing)
		}
	}
	close(stop)
	clients.Wait()
	p.waitFor("all have their end", func() bool { return len(readEntries(t, p.dir)) == 0 })
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
		if ran[id]+ended[id] == 0 {
			lost++
		}
		if i%3 == 2 && ran[id] > 1 {
			again++
		}
	}
	for id := range twice {
		// One whose process was killed may look out here for a moment longer than it was, but is not answered.
		if twice[id] && answered[id] > 1 {
			l.faults = append(l.faults, "two attempts out: "+id)
		}
	}
	for _, f := range l.faults {
		t.Error(f)
	}
	if lost > 0 || again > 0 || len(l.accepted) < rounds {
		t.Errorf("of %d taken on %d were lost, %d unsafe ones sent again", len(l.accepted), lost, again)
	}
	t.Logf("%v; %d taken on, %d given up", kinds, len(l.accepted), len(ended))
}
