package deadletter

import (
	"encoding/json"
	"fmt"
	"net/http"
)

const (
	// checkPage is how many records one transaction of a check reads, and samples how many messages it names a rule.
	checkPage, samples = 2000, 3
	// maxRules bounds what a check is sent, in bytes.
	maxRules = 1 << 20
)

// CheckOrder asks what rules would do. Where the relay is not running, the classes come with it.
type CheckOrder struct {
	Rules   []Rule  `json:"rules"`
	Classes []Class `json:"classes,omitempty"`
}

// RuleCheck is what one rule would do with what is in the store now; rule 0 stands for messages that none matches.
type RuleCheck struct {
	Rule    int            `json:"rule"`
	Faults  []string       `json:"faults,omitempty"` // why the rule is refused
	Matches int            `json:"matches"`
	Actions map[string]int `json:"actions,omitempty"` // what would be done now
	Samples []string       `json:"samples,omitempty"` // ids, with the reason in words
}

// check is a dry run: it changes nothing.
func (a *Admin) check(r *http.Request) (any, error) {
	var o CheckOrder
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRules)).Decode(&o); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	classes := a.Classes
	if anew := a.newClasses.Load(); anew != nil {
		classes = *anew
	}
	if classes == nil {
		classes = o.Classes
	}
	if len(classes) == 0 {
		return nil, fmt.Errorf("%w: which classes the relay has is not known", errBadRequest)
	}
	by := map[string]*Class{}
	for i := range classes {
		by[classes[i].Name] = &classes[i]
	}
	out := make([]RuleCheck, len(o.Rules)+1)
	for i := range o.Rules {
		rule := &o.Rules[i]
		if rule.Hours != "" {
			var err error
			if rule.hours, err = parseHours(rule.Hours); err != nil {
				return nil, fmt.Errorf("%w: %w", errBadRequest, err)
			}
		}
		out[i+1].Rule, out[i+1].Faults = i+1, rule.Against(classes)
	}
	now := a.Now()
	for from, first := uint64(0), true; first || from > 0; first = false {
		page, next, _, err := a.Store.Page(from, checkPage, checkPage, func(rec *Record) bool { return !rec.State.Ended() })
		if err != nil {
			return nil, err
		}
		for _, rec := range page {
			p := Decide(o.Rules, by[rec.Class], rec, a.Store.Newer, now)
			c := &out[p.Rule]
			if c.Actions == nil {
				c.Actions = map[string]int{}
			}
			c.Matches++
			c.Actions[p.Action]++
			if len(c.Samples) < samples {
				c.Samples = append(c.Samples, rec.ID+": "+p.Action+", "+p.Why)
			}
		}
		from = next
	}
	return out, nil
}
