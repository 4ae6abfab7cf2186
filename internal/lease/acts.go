package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Permit allows one act until a time on the boot-time clock.
type Permit struct {
	Lease string
	Token uint64
	Until time.Duration
	id    uint64
}

// RefusedError is the reason why an act is not allowed.
type RefusedError string

func (e RefusedError) Error() string { return string(e) }

// Reasons why an act is not allowed. Another reason, for an act that takes longer than the lease lasts, contains the time left.
const (
	errNotHeld   = RefusedError("the lease is not held")
	errReleasing = RefusedError("the lease is being released")
	errRegranted = RefusedError("the lease was lost and granted again meanwhile")
)

// Act allows an act that takes at most cost, or returns a RefusedError. The caller reports the end of an allowed act by EndAct.
// Until then, ExpiredActs returns the act if it has to be cancelled.
func (c *Core) Act(now time.Duration, name string, cost time.Duration) (Permit, error) {
	token, until, ok := c.Holds(now, name)
	switch {
	case !ok:
		return Permit{}, errNotHeld
	case c.requests[name] == nil || c.requests[name].releasing:
		return Permit{}, errReleasing
	case now+cost > until:
		return Permit{}, RefusedError(fmt.Sprintf("the lease expires in %v, before the act can end", until-now))
	}
	c.nextAct++
	p := Permit{Lease: name, Token: token, Until: until, id: c.nextAct}
	c.openActs[p.id] = p
	return p, nil
}

// EndAct ends an act, and reports whether its permit was still valid. If it was not, another process may have acted under the
// lease meanwhile, and the caller may have to check the effect of the act.
func (c *Core) EndAct(now time.Duration, p Permit) bool {
	delete(c.openActs, p.id)
	return now <= p.Until
}

// ExpiredActs returns the acts that have to be cancelled now, since their permit has expired or their lease is lost. Each of
// them may have had its effect. They stay open until EndAct.
func (c *Core) ExpiredActs(now time.Duration) []Permit {
	var expired []Permit
	for _, id := range slices.Sorted(maps.Keys(c.openActs)) {
		if p := c.openActs[id]; now >= p.Until || c.held[p.Lease].Token != p.Token {
			expired = append(expired, p)
		}
	}
	return expired
}

// hasOpenAct reports whether an act under a lease has not ended.
func (c *Core) hasOpenAct(name string) bool {
	for _, p := range c.openActs {
		if p.Lease == name {
			return true
		}
	}
	return false
}
