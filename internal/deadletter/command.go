package deadletter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Command is what an operator wants done with a message, and who wants it.
type Command struct {
	By       string `json:"by"`
	Reason   string `json:"why,omitempty"`
	Evidence string `json:"evidence,omitempty"`
}

// command does what an operator wants done with a message.
func (a *Admin) command(r *http.Request) (any, error) {
	var o Command
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBody)).Decode(&o); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	if o.By == "" {
		return nil, fmt.Errorf("%w: nobody is named", errBadRequest)
	}
	now := a.Now()
	var after Record
	err := a.Store.Change(r.PathValue("id"), func(rec *Record) (time.Time, error) {
		due, err := o.apply(r.PathValue("what"), rec, now)
		after = *rec
		return due, err
	})
	if err != nil {
		return nil, err
	}
	if a.Changed != nil {
		a.Changed()
	}
	return after, nil
}

// apply changes a record as a command says, and gives when to look at it again.
func (o *Command) apply(what string, r *Record, now time.Time) (due time.Time, err error) {
	refuse := func(format string, args ...any) (time.Time, error) {
		return r.Due, conflictError{fmt.Errorf("%s: "+format, append([]any{r.ID}, args...)...)}
	}
	if r.State.Ended() {
		return refuse("it is %s already: %s", r.State, r.Reason)
	}
	if r.State == Redelivering {
		return refuse("it is being resent at this moment")
	}
	set := func(s State, why string) { r.State, r.Reason, r.Since = s, why, now }
	switch what {
	case "hold":
		r.HeldByOperator, r.RequestedByOperator = true, false
		set(Held, "held by "+o.By+suffix(o.Reason))
		return time.Time{}, nil
	case "discard":
		if o.Reason == "" {
			return refuse("a discard says why")
		}
		set(Discarded, "discarded by "+o.By+suffix(o.Reason))
		return time.Time{}, nil
	case "resend":
		r.HeldByOperator, r.RequestedByOperator = false, true
		set(Due, "to be resent, asked for by "+o.By+suffix(o.Reason))
		return now, nil
	case "attest":
		if o.Evidence == "" {
			return refuse("an attest names its evidence")
		}
		if r.unusedAttestation() != nil {
			return refuse("an attest for it is there already, and serves for one resend")
		}
		r.Attestations = append(r.Attestations, Attestation{By: o.By, Evidence: o.Evidence, At: now})
		return now, nil // a rule may want it now
	}
	return r.Due, fmt.Errorf("%w: nothing is called %q", errBadRequest, what)
}

func suffix(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}
