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

// DryRunRequest asks what rules would do. Where the relay is not running, the classes come with it.
type DryRunRequest struct {
	Rules   []Rule  `json:"rules"`
	Classes []Class `json:"classes,omitempty"`
}

// DryRunResult is what one rule would do with what is in the store now; rule 0 stands for messages that none matches.
type DryRunResult struct {
	Rule    int            `json:"rule"`
	Faults  []string       `json:"faults,omitempty"` // why the rule is refused
	Matches int            `json:"matches"`
	Actions map[string]int `json:"actions,omitempty"` // what would be done now
	Samples []string       `json:"samples,omitempty"` // ids, with the reason in words
}

// check is a dry run: it changes nothing.
func (a *Admin) check(r *http.Request) (any, error) {
	var o DryRunRequest
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRules)).Decode(&o); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	classes, err := a.classesFor(&o)
	if err != nil {
		return nil, err
	}
	out, err := o.prepare(classes)
	if err != nil {
		return nil, err
	}
	return out, a.applyRules(&o, classes, out)
}

// classesFor returns the relay's classes, or those that come with a check where the relay is not running.
func (a *Admin) classesFor(o *DryRunRequest) ([]Class, error) {
	classes := a.Classes
	if changed := a.newClasses.Load(); changed != nil {
		classes = *changed
	}
	if classes == nil {
		classes = o.Classes
	}
	if len(classes) == 0 {
		return nil, fmt.Errorf("%w: which classes the relay has is not known", errBadRequest)
	}
	return classes, nil
}

// prepare reads the rules' hours, and returns what is wrong with each rule; no message is counted yet.
func (o *DryRunRequest) prepare(classes []Class) ([]DryRunResult, error) {
	out := make([]DryRunResult, len(o.Rules)+1)
	for i := range o.Rules {
		rule := &o.Rules[i]
		if rule.Hours != "" {
			var err error
			if rule.hours, err = parseHours(rule.Hours); err != nil {
				return nil, fmt.Errorf("%w: %w", errBadRequest, err)
			}
		}
		out[i+1].Rule, out[i+1].Faults = i+1, rule.Conflicts(classes)
	}
	return out, nil
}

// applyRules counts what the rules would do with each message that has not ended.
func (a *Admin) applyRules(o *DryRunRequest, classes []Class, out []DryRunResult) error {
	byName := map[string]*Class{}
	for i := range classes {
		byName[classes[i].Name] = &classes[i]
	}
	now := a.Now()
	for from, first := uint64(0), true; first || from > 0; first = false {
		page, next, _, err := a.Store.Page(from, checkPage, checkPage, func(rec *Record) bool { return !rec.State.Ended() })
		if err != nil {
			return err
		}
		for _, rec := range page {
			p := Decide(o.Rules, byName[rec.Class], rec, a.Store.Newer, now)
			out[p.Rule].count(rec.ID, p)
		}
		from = next
	}
	return nil
}

// count counts a message for which a rule has a plan.
func (c *DryRunResult) count(id string, p Plan) {
	if c.Actions == nil {
		c.Actions = map[string]int{}
	}
	c.Matches++
	c.Actions[p.Action]++
	if len(c.Samples) < samples {
		c.Samples = append(c.Samples, id+": "+p.Action+", "+p.Reason)
	}
}
