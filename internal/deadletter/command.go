package deadletter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The names of the commands on a message, as they occur in request paths.
const (
	HoldCommand      = "hold"
	DiscardCommand   = "discard"
	RedeliverCommand = "resend"
	AttestCommand    = "attest"
)

// Command is the request body of a command on a message: who gives the command, and why.
type Command struct {
	By       string `json:"by"`
	Reason   string `json:"why,omitempty"`
	Evidence string `json:"evidence,omitempty"`
}

// command handles an operator's command on a message.
func (a *Admin) command(r *http.Request) (any, error) {
	var command Command
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBody)).Decode(&command); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	if command.By == "" {
		return nil, fmt.Errorf("%w: nobody is named", errBadRequest)
	}
	now := a.Now()
	var changed Record
	err := a.Store.Change(r.PathValue("id"), func(rec *Record) (time.Time, error) {
		due, err := command.apply(r.PathValue("command"), rec, now)
		changed = *rec
		return due, err
	})
	if err != nil {
		return nil, err
	}
	if a.Changed != nil {
		a.Changed()
	}
	return changed, nil
}

// apply applies the named command to a record, and returns when the record is due next.
func (c *Command) apply(name string, r *Record, now time.Time) (due time.Time, err error) {
	conflict := func(format string, args ...any) (time.Time, error) {
		return r.Due, conflictError{fmt.Errorf("%s: "+format, append([]any{r.ID}, args...)...)}
	}
	if r.State.Ended() {
		return conflict("it is %s already: %s", r.State, r.Reason)
	}
	if r.State == Redelivering {
		return conflict("it is being resent at this moment")
	}
	set := func(state State, reason string) { r.State, r.Reason, r.Since = state, reason, now }
	switch name {
	case HoldCommand:
		r.HeldByOperator, r.RequestedByOperator = true, false
		set(Held, "held by "+c.By+suffix(c.Reason))
		return time.Time{}, nil
	case DiscardCommand:
		if c.Reason == "" {
			return conflict("a discard says why")
		}
		set(Discarded, "discarded by "+c.By+suffix(c.Reason))
		return time.Time{}, nil
	case RedeliverCommand:
		r.HeldByOperator, r.RequestedByOperator = false, true
		set(Due, "to be resent, asked for by "+c.By+suffix(c.Reason))
		return now, nil
	case AttestCommand:
		if c.Evidence == "" {
			return conflict("an attest names its evidence")
		}
		if r.unusedAttestation() != nil {
			return conflict("an attest for it is there already, and serves for one resend")
		}
		r.Attestations = append(r.Attestations, Attestation{By: c.By, Evidence: c.Evidence, At: now})
		return now, nil // with the attestation, a rule may redeliver the message
	}
	return r.Due, fmt.Errorf("%w: nothing is called %q", errBadRequest, name)
}

// suffix returns ": " and a reason, or "" if there is no reason.
func suffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}
