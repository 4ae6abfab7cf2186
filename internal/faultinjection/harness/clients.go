package harness

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

const (
	// frontDrains is how long the front still deals to a relay that was told to end.
	frontDrains = 300 * time.Millisecond
	// mostHandIns bounds how often one message is handed in, whatever happens to its relays.
	mostHandIns = 12
	// idleKept bounds clients' idle connections to one relay: a third of its descriptors is for requests at most.
	idleKept = 1.0 / 3
)

// front deals clients' messages out to the relays that it holds to be alive.
type front struct {
	r  *rig
	mu sync.Mutex
	up []bool
	// since tells news of a relay from what is older: a relay that is ready again is not taken for dead.
	since []int
}

func newFront(r *rig) *front {
	return &front{r: r, up: make([]bool, r.s.Relays), since: make([]int, r.s.Relays)}
}

// ready says that a relay may be used.
func (f *front) ready(relay int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up[relay] = true
	f.since[relay]++
}

// leaves says that a relay is not to be used after a time.
func (f *front) leaves(relay int, after time.Duration) {
	f.mu.Lock()
	news := f.since[relay]
	f.mu.Unlock()
	f.r.work.Go(func() {
		if !wait.For(f.r.ctx, after) {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.since[relay] == news {
			f.up[relay] = false
		}
	})
}

// deal gives the relay for a message's n-th hand-in, or -1.
func (f *front) deal(m *scenario.Message, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var alive []int
	for i, up := range f.up {
		if up {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 {
		return -1
	}
	_, part := math.Modf(m.Deal + float64(n)*math.Phi)
	return alive[int(part*float64(len(alive)))]
}

// clients hand messages in.
type clients struct {
	r        *rig
	messages []*scenario.Message
	busy     atomic.Int64 // messages whose client has something to do

	mu    sync.Mutex
	kept  map[string][]*link // idle connections, by relay's address
	ended bool
}

// link is a client's connection.
type link struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

func newClients(r *rig, messages []*scenario.Message) *clients {
	return &clients{r: r, messages: messages, kept: map[string][]*link{}}
}

// idle tells whether no client has anything to do.
func (c *clients) idle() bool { return c.busy.Load() == 0 }

// first hands a message in for the first time.
func (c *clients) first(m *scenario.Message) {
	c.busy.Add(1)
	defer c.busy.Add(-1)
	c.handIn(m, 0, 0, "")
}

// later hands a message in again after a time.
func (c *clients) later(m *scenario.Message, after time.Duration, try, refusals int, mark string) {
	c.busy.Add(1)
	c.r.work.Go(func() {
		defer c.busy.Add(-1)
		if wait.For(c.r.ctx, after) {
			c.handIn(m, try, refusals, mark)
		}
	})
}

// left is how long a message may still be delivered.
func (c *clients) left(m *scenario.Message) time.Duration {
	return m.At + scenario.Seconds(c.r.s.Classes[m.Class].Deadline) - c.r.now()
}

// handIn hands a message in once, and does what its client then does.
func (c *clients) handIn(m *scenario.Message, try, refusals int, mark string) {
	left := c.left(m)
	if left <= 0 || try >= mostHandIns {
		return
	}
	relay := c.r.front.deal(m, try)
	if relay < 0 {
		c.later(m, m.Again, try+1, refusals, "again")
		return
	}
	k := &charge{m: m, try: try, refusals: refusals, id: c.r.d.ID(m.No, try), relay: relay, expires: c.r.now() + left}
	status, after, err := c.exchange(k, left, mark)
	switch {
	case errors.Is(err, errNotHanded):
		c.later(m, m.Again, try+1, refusals, "again")
	case err != nil:
		c.r.note(checker.Event{Kind: checker.AnswerMissed, ID: k.id, Relay: relay, State: err.Error(), OK: errors.Is(err, errEmpty)})
		c.r.book.withdraw(k)
		if c.mayComeAgain(k, m.Again) {
			c.later(m, m.Again, try+1, refusals, "again")
		}
	case status == http.StatusAccepted, status == http.StatusOK:
		c.r.note(checker.Event{Kind: checker.Answered, ID: k.id, Relay: relay, Status: status})
		c.r.book.taken(k)
	default:
		c.r.note(checker.Event{Kind: checker.Answered, ID: k.id, Relay: relay, Status: status, Duration: after})
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			c.comeAgain(k, after)
		}
	}
}

// comeAgain has a client that was refused hand its message in again, by its habits.
func (c *clients) comeAgain(k *charge, after time.Duration) {
	m := k.m
	if k.refusals >= len(m.Backoff) {
		return
	}
	wait := m.Backoff[k.refusals]
	if m.Honours {
		wait = max(wait, min(after, scenario.Seconds(c.r.s.Limits.RetryAfter)))
	}
	if !c.mayComeAgain(k, wait) {
		return
	}
	mark := ""
	if c.r.s.Clients.MarkRetries {
		mark = "1"
	}
	c.later(m, wait, k.try+1, k.refusals+1, mark)
}

// mayComeAgain tells whether a message may be handed in once more after a time: one that may have had its effect
// only where that does no harm.
func (c *clients) mayComeAgain(k *charge, after time.Duration) bool {
	now := c.r.book.state(k)
	ran := now.mayRun
	if ran == 0 && now.out > 0 {
		ran = c.r.now()
	}
	if ran == 0 {
		return true
	}
	switch class := &c.r.s.Classes[k.m.Class]; class.Effect {
	case "keyed":
		return c.r.now()+after < ran+scenario.Seconds(class.Memory)
	case "unsafe":
		return false
	}
	return true
}

// lost hands in again what a relay held that is gone with its folder.
func (c *clients) lost(relay int) {
	for _, k := range c.r.book.heldBy(relay) {
		if c.mayComeAgain(k, k.m.Again) {
			c.later(k.m, k.m.Again, k.try+1, k.refusals, "again")
		}
	}
}

// errNotHanded says that a relay could not be reached, or closed a connection on which it had read nothing.
var errNotHanded = errors.New("not handed in")

// exchange hands a message in and waits for the answer.
func (c *clients) exchange(k *charge, left time.Duration, mark string) (status int, after time.Duration, err error) {
	addr := c.r.relays[k.relay].listen
	for fresh := false; ; fresh = true {
		l, err := c.get(addr, fresh)
		if err != nil {
			return 0, 0, fmt.Errorf("%w: %w", errNotHanded, err)
		}
		if !fresh || k.handed == 0 {
			c.hand(k, left)
		}
		_ = l.SetDeadline(time.Now().Add(scenario.Millis(c.r.s.Clients.AnswerWithin)))
		status, after, keep, err := c.ask(l, k, left, mark)
		if err == nil {
			if keep {
				c.put(addr, l)
			} else {
				_ = l.Close()
			}
			return status, after, nil
		}
		_ = l.Close()
		if crossed := l.used && errors.Is(err, errEmpty); !crossed {
			return 0, 0, err
		}
		// The relay closed a connection that had stood idle: once more on a new one.
	}
}

// hand notes that a message is being handed in, once.
func (c *clients) hand(k *charge, left time.Duration) {
	if k.handed != 0 {
		return
	}
	c.r.book.handedIn(k)
	k.handed = c.r.note(checker.Event{
		Kind: checker.Submitted, ID: k.id, Message: k.m.No, Relay: k.relay, Destination: k.m.Partner,
		Class: k.m.Class, OrderKey: k.m.Item, Subject: k.m.Subject, Duration: left,
	})
}

// errEmpty says that a connection ended with nothing on it.
var errEmpty = errors.New("closed without an answer")

// ask writes the request and reads the answer.
func (c *clients) ask(l *link, k *charge, left time.Duration, mark string) (status int, after time.Duration, keep bool, err error) {
	body := bodyOf(k)
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST /%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %.3f\r\nX-Envelope: dest=%d",
		c.r.s.Classes[k.m.Class].Name, k.id, left.Seconds(), k.m.Partner)
	if k.m.Item != "" {
		fmt.Fprintf(&out, "\r\nCookie: subject=%s", k.m.Item)
	}
	if k.m.Tenant >= 0 {
		fmt.Fprintf(&out, "\r\nTenant: %s", c.r.s.Tenants[k.m.Tenant].Name)
	}
	if k.m.Subject != "" {
		fmt.Fprintf(&out, "\r\nSubject: %s\r\nSequence: %d", k.m.Subject, k.m.No)
	}
	if k.m.Key != "" {
		fmt.Fprintf(&out, "\r\nIdempotency-Key: %s", k.m.Key)
	}
	if mark != "" {
		fmt.Fprintf(&out, "\r\nClient-Retry: %s", mark)
	}
	fmt.Fprintf(&out, "\r\nContent-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	if _, err := l.Write(out.Bytes()); err != nil {
		return 0, 0, false, fmt.Errorf("%w: %w", errEmpty, err)
	}
	if _, err := l.in.Peek(1); err != nil {
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			return 0, 0, false, err
		}
		return 0, 0, false, fmt.Errorf("%w: %w", errEmpty, err)
	}
	resp, err := http.ReadResponse(l.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, false, err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil {
		return 0, 0, false, err
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		after = scenario.Seconds(min(s, 3600))
	}
	return resp.StatusCode, after, !resp.Close, nil
}

// get gives an idle connection to a relay, or a new one.
func (c *clients) get(addr string, fresh bool) (*link, error) {
	if !fresh {
		c.mu.Lock()
		if list := c.kept[addr]; len(list) > 0 {
			l := list[len(list)-1]
			c.kept[addr] = list[:len(list)-1]
			c.mu.Unlock()
			return l, nil
		}
		c.mu.Unlock()
	}
	raw, err := net.DialTimeout("tcp", addr, scenario.Millis(c.r.s.Clients.AnswerWithin))
	if err != nil {
		return nil, err
	}
	return &link{Conn: raw, in: bufio.NewReader(raw)}, nil
}

// put keeps a connection for the next message.
func (c *clients) put(addr string, l *link) {
	l.used = true
	_ = l.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.kept[addr]) >= int(idleKept*float64(c.r.s.Relay.Sockets)) {
		_ = l.Close()
		return
	}
	c.kept[addr] = append(c.kept[addr], l)
}

// openAt counts the clients' idle connections to a relay that this has not closed; the closed ones are dropped.
func (c *clients) openAt(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*link
	for _, l := range c.kept[addr] {
		_ = l.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := l.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			_ = l.SetReadDeadline(time.Time{})
			open = append(open, l)
			continue
		}
		_ = l.Close()
	}
	c.kept[addr] = open
	return len(open)
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, list := range c.kept {
		for _, l := range list {
			_ = l.Close()
		}
	}
}
