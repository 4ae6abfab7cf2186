package harness

import (
	"net/http"
	"sync"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// ledger holds the state of each message and of each of its submissions, which the stand-ins share.
type ledger struct {
	mu                sync.Mutex             // guards the fields below, and the fields of submission that are marked as guarded
	submissions       map[string]*submission // by id
	attemptsByMessage map[int]int            // over all ids of a message, by its number
	open              int                    // accepted submissions that are neither delivered nor ended
	deliveredAt       map[int]time.Duration  // first delivery of an accepted submission, by the message's number
	lastAttempt       int                    // number of the last attempt, over all messages
}

// submission is one submission of a message, or a redelivery under an id that a relay generated.
type submission struct {
	message    *scenario.Message
	number     int // among the message's submissions, from 0
	rejections int // of earlier submissions of the message
	id         string
	relay      int
	// openConnOnly means that the relay is shutting down: the submission may use an open connection, but no new one.
	openConnOnly bool
	submittedAt  time.Duration // 0: not yet
	expiresAt    time.Duration

	// Guarded by the ledger's mutex.
	accepted     bool
	withdrawn    bool          // its client got no response
	deliveredAt  time.Duration // 0: not yet
	ended        bool          // the platform was notified of its outcome, or it was lost with its relay's state
	endedEarly   int           // the status with which endpoints answer all attempts, since the message is over or has had all attempts; 0: it is not
	attempts     int
	inFlight     int           // attempts that have no outcome yet
	mayHaveRunAt time.Duration // start of the first attempt that may have been executed; 0: there is none
}

func newLedger() *ledger {
	return &ledger{submissions: map[string]*submission{}, attemptsByMessage: map[int]int{}, deliveredAt: map[int]time.Duration{}}
}

// submitted adds a submission that a client makes.
func (l *ledger) submitted(s *submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submissions[s.id] = s
}

// adoptRedelivery adds a redelivery, and reports whether its id is new.
func (l *ledger) adoptRedelivery(s *submission) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.submissions[s.id] != nil {
		return false
	}
	l.submissions[s.id] = s
	return true
}

// accepted records that a client got a response that accepts its submission.
func (l *ledger) accepted(s *submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.accepted = true
	switch {
	case s.deliveredAt > 0:
		l.recordDelivery(s)
	case !s.ended:
		l.open++
	}
}

// endEarly records that a message is over, or has had all its attempts, as endpoints answer with a status from now on. Of a message that
// is over, no outcome is due.
func (l *ledger) endEarly(s *submission, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.endedEarly = status
	if status != http.StatusGone || s.ended {
		return
	}
	s.ended = true
	if s.accepted && s.deliveredAt == 0 {
		l.open--
	}
}

// withdraw records that a client got no response to a submission.
func (l *ledger) withdraw(s *submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.withdrawn = true
}

// recordDelivery records the delivery of an accepted submission. The mutex is held.
func (l *ledger) recordDelivery(s *submission) {
	if at, ok := l.deliveredAt[s.message.Number]; !ok || s.deliveredAt < at {
		l.deliveredAt[s.message.Number] = s.deliveredAt
	}
}

// attemptStarted records the start of an attempt under an id. It returns the attempt's number, the submission (nil for an
// unknown id), and the number of earlier attempts of its message.
func (l *ledger) attemptStarted(id string) (number int, s *submission, earlier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAttempt++
	s = l.submissions[id]
	if s == nil {
		return l.lastAttempt, nil, 0
	}
	s.attempts++
	s.inFlight++
	earlier = l.attemptsByMessage[s.message.Number]
	l.attemptsByMessage[s.message.Number]++
	return l.lastAttempt, s, earlier
}

// attemptEnded records the outcome of an attempt. A rejected attempt was not executed.
func (l *ledger) attemptEnded(s *submission, startedAt, endedAt time.Duration, rejected, delivered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.inFlight--
	if !rejected && s.mayHaveRunAt == 0 {
		s.mayHaveRunAt = startedAt
	}
	if !delivered || s.deliveredAt > 0 {
		return
	}
	s.deliveredAt = max(1, endedAt) // 0 would mean that the submission is not delivered
	if !s.accepted {
		return
	}
	l.recordDelivery(s)
	if !s.ended {
		l.open--
	}
}

// completed records the terminal outcome of a submission. It returns the submission, or nil if the id is unknown or the
// submission has ended before.
func (l *ledger) completed(id string) *submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.submissions[id]
	if s == nil || s.ended {
		return nil
	}
	s.ended = true
	if s.accepted && s.deliveredAt == 0 {
		l.open--
	}
	return s
}

// state returns a copy of a submission in its present state.
func (l *ledger) state(s *submission) submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *s
}

// takeHeldBy returns the accepted submissions that a relay still held when its state was lost, and marks them as ended.
func (l *ledger) takeHeldBy(relay int) []*submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []*submission
	for _, s := range l.submissions {
		if s.relay == relay && s.accepted && s.deliveredAt == 0 && !s.ended {
			s.ended = true
			l.open--
			held = append(held, s)
		}
	}
	return held
}

// allCompleted reports whether no accepted submission is open.
func (l *ledger) allCompleted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0
}
