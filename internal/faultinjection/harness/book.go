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

// ledger knows, of each message and of each id under which it was handed in, what the stand-ins have to know of it.
type ledger struct {
	mu                sync.Mutex
	submissions       map[string]*submission
	attemptsByMessage map[int]int // of each message so far, over all its ids
	open              int         // ids taken on that have not come to an end
	deliveredAt       map[int]time.Duration
	lastAttempt       int
}

// submission is one hand-in.
type submission struct {
	message      *scenario.Message
	number       int // of the message
	rejections   int // that its client has had before
	id           string
	relay        int
	submittedAt  time.Duration // 0: not yet
	expiresAt    time.Duration
	accepted     bool
	withdrawn    bool
	deliveredAt  time.Duration // 0: not
	ended        bool
	attempts     int
	inFlight     int           // attemptsByMessage that have no outcome yet
	mayHaveRunAt time.Duration // when the first call came that may have run; 0: none did
}

func newLedger() *ledger {
	return &ledger{submissions: map[string]*submission{}, attemptsByMessage: map[int]int{}, deliveredAt: map[int]time.Duration{}}
}

func (b *ledger) submitted(c *submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.submissions[c.id] = c
}

// adoptRedelivery notes a message under an id that no client used, and tells whether it is news.
func (b *ledger) adoptRedelivery(c *submission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.submissions[c.id] != nil {
		return false
	}
	b.submissions[c.id] = c
	return true
}

// accepted notes that a client has heard that its message was taken on.
func (b *ledger) accepted(c *submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.accepted = true
	if c.deliveredAt > 0 {
		b.recordDelivery(c)
	} else if !c.ended {
		b.open++
	}
}

func (b *ledger) withdraw(c *submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.withdrawn = true
}

// recordDelivery notes that a message was delivered and its client knows that it was taken on; the lock is held.
func (b *ledger) recordDelivery(c *submission) {
	if at, had := b.deliveredAt[c.message.Number]; !had || c.deliveredAt < at {
		b.deliveredAt[c.message.Number] = c.deliveredAt
	}
}

// attemptEnded notes the outcome of a call: what was turned away has not run.
func (b *ledger) attemptEnded(c *submission, began, at time.Duration, refused, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.inFlight--
	if !refused && c.mayHaveRunAt == 0 {
		c.mayHaveRunAt = began
	}
	if !ok || c.deliveredAt > 0 {
		return
	}
	c.deliveredAt = max(1, at)
	if c.accepted {
		b.recordDelivery(c)
		if !c.ended {
			b.open--
		}
	}
}

// completed notes the end of an id, and gives its charge if this is news.
func (b *ledger) completed(id string) *submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.submissions[id]
	if c == nil || c.ended {
		return nil
	}
	c.ended = true
	if c.accepted && c.deliveredAt == 0 {
		b.open--
	}
	return c
}

// attemptStarted numbers a call for an id, and gives the charge and how many calls its message had before.
func (b *ledger) attemptStarted(id string) (number int, c *submission, before int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastAttempt++
	c = b.submissions[id]
	if c == nil {
		return b.lastAttempt, nil, 0
	}
	c.attempts++
	c.inFlight++
	before = b.attemptsByMessage[c.message.Number]
	b.attemptsByMessage[c.message.Number]++
	return b.lastAttempt, c, before
}

// state is a charge as it stands.
func (b *ledger) state(c *submission) submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *c
}

// takeHeldBy gives what a relay has taken on that is not over, and notes that it is held no more.
func (b *ledger) takeHeldBy(relay int) []*submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	var held []*submission
	for _, c := range b.submissions {
		if c.relay == relay && c.accepted && c.deliveredAt == 0 && !c.ended {
			c.ended = true
			b.open--
			held = append(held, c)
		}
	}
	return held
}

// allCompleted tells whether nothing that was taken on is open.
func (b *ledger) allCompleted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open == 0
}

// progress is how the run stands: messages sent and delivered, ids held, worth got and asked for.
func (b *ledger) progress(classes []settings.Class, messages []*scenario.Message, now time.Duration) (sent, delivered, held int, got, asked float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range messages {
		if m.At > now {
			break
		}
		sent++
		c := &classes[m.Class]
		asked += c.PriorityWeight
		if at, ok := b.deliveredAt[m.Number]; ok {
			delivered++
			got += c.PriorityWeight * checker.RemainingWeight(c, at-m.At)
		}
	}
	return sent, delivered, b.open, got, asked
}

// writeLog writes the log, an event a line.
func (r *harness) writeLog(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	lines := json.NewEncoder(out)
	for _, e := range r.eventLog() {
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
