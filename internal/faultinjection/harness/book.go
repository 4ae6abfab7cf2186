package harness

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/settings"
)

// book knows, of each message and of each id under which it was handed in, what the stand-ins have to know of it.
type book struct {
	mu       sync.Mutex
	charges  map[string]*charge
	calls    map[int]int // of each message so far, over all its ids
	open     int         // ids taken on that have not come to an end
	served   map[int]time.Duration
	lastCall int
}

// charge is one hand-in.
type charge struct {
	m         *scenario.Message
	try       int // of the message
	refusals  int // that its client has had before
	id        string
	relay     int
	handed    time.Duration // 0: not yet
	expires   time.Duration
	taken     bool
	withdrawn bool
	delivered time.Duration // 0: not
	ended     bool
	attempts  int
	out       int           // calls that have no outcome yet
	mayRun    time.Duration // when the first call came that may have run; 0: none did
}

func newBook() *book {
	return &book{charges: map[string]*charge{}, calls: map[int]int{}, served: map[int]time.Duration{}}
}

func (b *book) handedIn(c *charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charges[c.id] = c
}

// adopt notes a message under an id that no client used, and tells whether it is news.
func (b *book) adopt(c *charge) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.charges[c.id] != nil {
		return false
	}
	b.charges[c.id] = c
	return true
}

// taken notes that a client has heard that its message was taken on.
func (b *book) taken(c *charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.taken = true
	if c.delivered > 0 {
		b.serve(c)
	} else if !c.ended {
		b.open++
	}
}

func (b *book) withdraw(c *charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.withdrawn = true
}

// serve notes that a message was delivered and its client knows that it was taken on; the lock is held.
func (b *book) serve(c *charge) {
	if at, had := b.served[c.m.No]; !had || c.delivered < at {
		b.served[c.m.No] = c.delivered
	}
}

// answered notes the outcome of a call: what was turned away has not run.
func (b *book) answered(c *charge, began, at time.Duration, refused, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.out--
	if !refused && c.mayRun == 0 {
		c.mayRun = began
	}
	if !ok || c.delivered > 0 {
		return
	}
	c.delivered = max(1, at)
	if c.taken {
		b.serve(c)
		if !c.ended {
			b.open--
		}
	}
}

// noticed notes the end of an id, and gives its charge if this is news.
func (b *book) noticed(id string) *charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.charges[id]
	if c == nil || c.ended {
		return nil
	}
	c.ended = true
	if c.taken && c.delivered == 0 {
		b.open--
	}
	return c
}

// called numbers a call for an id, and gives the charge and how many calls its message had before.
func (b *book) called(id string) (number int, c *charge, before int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastCall++
	c = b.charges[id]
	if c == nil {
		return b.lastCall, nil, 0
	}
	c.attempts++
	c.out++
	before = b.calls[c.m.No]
	b.calls[c.m.No]++
	return b.lastCall, c, before
}

// state is a charge as it stands.
func (b *book) state(c *charge) charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *c
}

// heldBy gives what a relay has taken on that is not over, and notes that it is held no more.
func (b *book) heldBy(relay int) []*charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	var held []*charge
	for _, c := range b.charges {
		if c.relay == relay && c.taken && c.delivered == 0 && !c.ended {
			c.ended = true
			b.open--
			held = append(held, c)
		}
	}
	return held
}

// settled tells whether nothing that was taken on is open.
func (b *book) settled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open == 0
}

// sum is how the run stands: messages sent and delivered, ids held, worth got and asked for.
func (b *book) sum(classes []settings.Class, messages []*scenario.Message, now time.Duration) (sent, delivered, held int, got, asked float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range messages {
		if m.At > now {
			break
		}
		sent++
		c := &classes[m.Class]
		asked += c.PriorityWeight
		if at, ok := b.served[m.No]; ok {
			delivered++
			got += c.PriorityWeight * checker.WorthLeft(c, at-m.At)
		}
	}
	return sent, delivered, b.open, got, asked
}

// writeLog writes the log, an event a line.
func (r *rig) writeLog(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	lines := json.NewEncoder(out)
	for _, e := range r.written() {
		if err = lines.Encode(e); err != nil {
			break
		}
	}
	if err == nil {
		err = out.Flush()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}
