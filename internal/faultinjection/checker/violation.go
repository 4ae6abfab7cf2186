package checker

import "time"

// Rule is the name of a rule as reports print it.
type Rule string

// The rules.
const (
	OutcomeMissing        Rule = "message lost"
	OutcomeLate           Rule = "late end"
	OutcomeTwice          Rule = "two ends"
	SentAfterEnd          Rule = "sent after its end"
	Unanswered            Rule = "closed without an answer" // a complete request got no response before the relay closed the connection
	ExecutedTwice         Rule = "effect twice"
	ConcurrentAttempts    Rule = "second copy"
	DrainBroken           Rule = "drain not kept"
	DestinationOverloaded Rule = "returning partner pushed over"
	OrderBroken           Rule = "order not kept"
	RetryAfterIgnored     Rule = "wait not heeded"
	WrongDestination      Rule = "host of another partner"
	UnknownRequest        Rule = "message nobody handed in"
	DeadLetterMissing     Rule = "undelivered message not kept"
	Overwritten           Rule = "newer status overwritten"
	FailedUntried         Rule = "untried messages given up after a restart"
	AcceptedLate          Rule = "taken on only after delivery"
	MetricsWrong          Rule = "figures wrong"
	DeadLetterWrong       Rule = "undelivered message kept wrongly"
)

// Violation is one case in which a run broke a rule.
type Violation struct {
	Rule        Rule          `json:"rule"`
	At          time.Duration `json:"at"`
	ID          string        `json:"id,omitempty"`
	Relay       int           `json:"relay"` // numbered from 1
	Destination string        `json:"partner,omitempty"`
	Text        string        `json:"text"`
}
