package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	// calm is how long a run goes on without trouble, beside two times to live.
	calm = 6 * time.Second
	// startWithin is how long the first act may take to come.
	startWithin = 20 * time.Second
	// lateMost is how late the rig's own timers may be: beyond it the machine was too busy for a verdict.
	lateMost = 150 * time.Millisecond
	// watchEvery is between looks at the rig's own lateness.
	watchEvery = 5 * time.Millisecond
)

// Result is what a run came to.
type Result struct {
	Seed               uint64         `json:"seed"`
	Members            int            `json:"members"`
	Relays             int            `json:"relays"`
	Fenced             bool           `json:"fenced"`
	Executions         int            `json:"acts"`
	Accepted           int            `json:"accepted"`
	Grants             int            `json:"grants"` // tokens seen
	InjectedFaults     map[string]int `json:"caused"`
	TakeoverSeconds    []float64      `json:"takeover_s"`       // from a holder's death to another's next act
	MaxLatenessSeconds float64        `json:"rig_late_s"`       // the most
	Void               bool           `json:"void"`             // the machine was too busy: no verdict
	Violations         []Violation    `json:"faults,omitempty"` //
	Dir                string         `json:"folder,omitempty"` // of a run that failed: logs and data
}

// Run plays one run with real processes, and judges it.
func Run(ctx context.Context, o Options) (Result, error) {
	res := Result{Seed: o.Seed, Members: o.Members, Relays: o.Relays, Fenced: o.Fenced}
	f, err := newFleet(o)
	defer f.close()
	if err != nil {
		return res, err
	}
	if err := f.start(ctx); err != nil {
		return res, err
	}
	steps := o.Steps
	if steps == nil {
		steps = Draw(o.Seed, o.Length, o.Members, o.Relays)
	}
	begun := f.now()
	watched := f.watch(ctx)
	var work sync.WaitGroup
	for _, s := range steps {
		if !until(ctx, begun+s.At-f.now()) {
			break
		}
		work.Go(func() { f.cause(s) })
	}
	work.Wait()
	until(ctx, calm+2*o.TTL)
	watched()
	if err := ctx.Err(); err != nil {
		return res, err
	}
	f.judge(&res)
	return res, nil
}

// until waits, and is false where the context ends first.
func until(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(0, d)):
		return true
	}
}

// start starts all processes, and waits for the first act.
func (f *fleet) start(ctx context.Context) error {
	for _, m := range f.members {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, r := range f.relays {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for end := f.now() + startWithin; len(f.resource.Acts()) == 0; {
		if f.now() > end || !until(ctx, 20*time.Millisecond) {
			return fmt.Errorf("no relay acted within %v; see the logs in %s", startWithin, f.o.Dir)
		}
	}
	return nil
}

// watch notes how late the rig itself is, until it is stopped.
func (f *fleet) watch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			at := f.now() + watchEvery
			if !until(ctx, watchEvery) {
				return
			}
			f.mu.Lock()
			f.latest = max(f.latest, f.now()-at)
			f.mu.Unlock()
		}
	}()
	return func() { cancel(); <-done }
}

// judge fills in a result.
func (f *fleet) judge(res *Result) {
	acts := f.resource.Acts()
	f.mu.Lock()
	defer f.mu.Unlock()
	tokens := map[uint64]bool{}
	for _, a := range acts {
		tokens[a.Token] = true
		if a.Accepted {
			res.Accepted++
		}
	}
	res.Executions, res.Grants, res.InjectedFaults, res.MaxLatenessSeconds = len(acts), len(tokens), f.causing, f.latest.Seconds()
	res.Violations = append(f.faults, Check(acts, f.pauses)...)
	if len(acts) == 0 || f.now()-acts[len(acts)-1].Begin > 2*time.Second {
		res.Violations = append(res.Violations, Violation{"idle", "nobody acts at the end of the calm"})
	}
	for _, at := range f.deaths {
		i := slices.IndexFunc(acts, func(a Execution) bool { return a.Begin > at && a.Accepted })
		if i >= 0 {
			res.TakeoverSeconds = append(res.TakeoverSeconds, (acts[i].Begin - at).Seconds())
		}
	}
	res.Void = f.latest > lateMost
	if len(res.Violations) > 0 {
		res.Dir = f.o.Dir
	}
}

// RunIn plays one run in a folder of its own below another, which is removed unless the run failed.
func RunIn(ctx context.Context, parent string, o Options) (Result, error) {
	dir, err := os.MkdirTemp(parent, fmt.Sprintf("run-%d-", o.Seed))
	if err != nil {
		return Result{}, err
	}
	if o.Dir, err = filepath.Abs(dir); err != nil {
		return Result{}, err
	}
	res, err := Run(ctx, o)
	if err == nil && len(res.Violations) == 0 {
		err = os.RemoveAll(dir)
	}
	return res, err
}
