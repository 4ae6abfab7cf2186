package deadletter

import "fmt"

// RuleConflict is a redelivery rule of the operator's file that the platform's settings forbid, wholly or for some messages. The settings
// may change while the operator's file stays as it is, so a conflict ends no process: the messages that the rule may not redeliver are
// held, because each redelivery needs its Permission.
type RuleConflict struct {
	Rule   int    // the rule's number in the section, counted from 1
	Reason string // in words for operators
}

// Key returns the rule's key in the operator's file.
func (c RuleConflict) Key() string { return fmt.Sprintf("undelivered.rule[%d]", c.Rule) }

// RuleConflicts returns the conflicts of all rules with the classes of the settings.
func (s *Section) RuleConflicts(classes []Class) (conflicts []RuleConflict) {
	for i := range s.Rules {
		for _, reason := range s.Rules[i].Conflicts(classes) {
			conflicts = append(conflicts, RuleConflict{Rule: i + 1, Reason: reason})
		}
	}
	return conflicts
}

// Conflicts describes the redeliveries of a rule that the class named in the rule never allows. A rule for all classes has no
// conflicts: if a message's class does not allow a redelivery, the rule holds the message. A class that the relay does not
// have is a conflict too.
func (r *Rule) Conflicts(classes []Class) (conflicts []string) {
	if r.Action != Redeliver {
		return nil
	}
	found := false
	for i := range classes {
		if r.Class != "" && r.Class != classes[i].Name {
			continue
		}
		found = true
		if r.Class != "" {
			conflicts = append(conflicts, r.conflictsWith(&classes[i])...)
		}
	}
	if !found {
		conflicts = append(conflicts, fmt.Sprintf("is for class %q, which the relay does not have", r.Class))
	}
	return conflicts
}

// conflictsWith describes the redeliveries of a rule that a class never allows.
func (r *Rule) conflictsWith(c *Class) (conflicts []string) {
	mayHaveExecuted := r.MayHaveExecuted != nil && *r.MayHaveExecuted || r.Reason == string(OutcomeUnknown)
	switch {
	case mayHaveExecuted && c.Idempotency == NotIdempotent:
		conflicts = append(conflicts, fmt.Sprintf("resends %s messages that may have run, and that class may not be repeated: only an attest allows it", c.Name))
	case mayHaveExecuted && c.Idempotency == IdempotentByKey && seconds(max(r.Delay, r.OlderThan))+KeyMargin >= c.KeyTTL:
		conflicts = append(conflicts, fmt.Sprintf("resends %s messages that may have run after %v s, and partners remember a key for %v only", c.Name, max(r.Delay, r.OlderThan), c.KeyTTL))
	}
	if r.MaxIncarnations > c.MaxAttempts {
		conflicts = append(conflicts, fmt.Sprintf("allows %d lives, and class %s is allowed %d attempts in all", r.MaxIncarnations, c.Name, c.MaxAttempts))
	}
	return conflicts
}
