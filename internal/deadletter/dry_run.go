package deadletter

import (
	"encoding/json"
	"fmt"
	"net/http"
)

const (
	// dryRunBatch limits the records that one transaction of a dry run reads, and maxSamples the messages that a result
	// lists for each rule.
	dryRunBatch, maxSamples = 2000, 3
	// maxRulesBody limits the body of a dry-run request, in bytes.
	maxRulesBody = 1 << 20
)

// DryRunRequest asks what rules would do with the stored messages. It includes the classes if the relay is not running.
type DryRunRequest struct {
	Rules   []Rule  `json:"rules"`
	Classes []Class `json:"classes,omitempty"`
}

// DryRunResult is what one rule would do with the current content of the store. The result of rule 0 counts the messages
// that no rule matches.
type DryRunResult struct {
	Rule    int            `json:"rule"`
	Faults  []string       `json:"faults,omitempty"` // conflicts of the rule with its class; a relay holds the messages that the class forbids to redeliver
	Matches int            `json:"matches"`
	Actions map[Action]int `json:"actions,omitempty"` // number of messages for each action that would be taken now
	Samples []string       `json:"samples,omitempty"` // ids of some messages, with action and reason
}

// check handles a dry-run request.
func (a *Admin) check(r *http.Request) (any, error) {
	var dryRun DryRunRequest
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRulesBody)).Decode(&dryRun); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	classes, err := a.classesFor(&dryRun)
	if err != nil {
		return nil, err
	}
	results, err := dryRun.prepare(classes)
	if err != nil {
		return nil, err
	}
	return results, a.applyRules(dryRun.Rules, classes, results)
}

// classesFor returns the classes of the relay or, if it is not running, the classes of the request.
func (a *Admin) classesFor(dryRun *DryRunRequest) ([]Class, error) {
	classes := a.Classes
	if changed := a.newClasses.Load(); changed != nil {
		classes = *changed
	}
	if classes == nil {
		classes = dryRun.Classes
	}
	if len(classes) == 0 {
		return nil, fmt.Errorf("%w: which classes the relay has is not known", errBadRequest)
	}
	return classes, nil
}

// prepare parses the hours of the rules. It returns the results of rule 0 and of each rule. The results list the conflicts,
// and their counts of messages are still 0.
func (d *DryRunRequest) prepare(classes []Class) ([]DryRunResult, error) {
	results := make([]DryRunResult, len(d.Rules)+1)
	for i := range d.Rules {
		rule := &d.Rules[i]
		if rule.Hours != "" {
			var err error
			if rule.hours, err = parseHours(rule.Hours); err != nil {
				return nil, fmt.Errorf("%w: %w", errBadRequest, err)
			}
		}
		results[i+1].Rule, results[i+1].Faults = i+1, rule.Conflicts(classes)
	}
	return results, nil
}

// applyRules counts what the rules would do with each message that is not in a final state.
func (a *Admin) applyRules(rules []Rule, classes []Class, results []DryRunResult) error {
	byName := map[string]*Class{}
	for i := range classes {
		byName[classes[i].Name] = &classes[i]
	}
	now := a.Now()
	for from, first := uint64(0), true; first || from > 0; first = false {
		page, next, _, err := a.Store.Page(from, dryRunBatch, dryRunBatch, func(rec *Record) bool { return !rec.State.Ended() })
		if err != nil {
			return err
		}
		for _, rec := range page {
			plan := Decide(rules, byName[rec.Class], rec, a.Store.Newer, now)
			results[plan.Rule].count(rec.ID, plan)
		}
		from = next
	}
	return nil
}

// count counts a message under the action that is planned for it.
func (r *DryRunResult) count(id string, plan Plan) {
	if r.Actions == nil {
		r.Actions = map[Action]int{}
	}
	r.Matches++
	r.Actions[plan.Action]++
	if len(r.Samples) < maxSamples {
		r.Samples = append(r.Samples, id+": "+string(plan.Action)+", "+plan.Reason)
	}
}
