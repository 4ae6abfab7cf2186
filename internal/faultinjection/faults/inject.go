package faults

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/wait"
)

const (
	// statusTimeout bounds the request for a member's status, which states whether the member is the leader.
	statusTimeout = 200 * time.Millisecond
	// slowLinkDelay is the delay of traffic over a slow link.
	slowLinkDelay = 100 * time.Millisecond
	// executionPollInterval is the interval at which a fault checks whether a proxy holds a request to the resource.
	executionPollInterval = time.Millisecond
)

// target has the member and the relay to which a fault can be applied. Most kinds of faults use one of the two.
type target struct {
	member *member
	relay  *relay
}

// inject applies one fault, and returns when the fault is over.
func (h *harness) inject(ctx context.Context, f Fault) {
	h.recorder.countFault(f.Kind)
	i := slices.IndexFunc(kinds, func(k kindSpec) bool { return k.name == f.Kind })
	if i < 0 {
		slog.Error("unknown kind of fault; fault not injected", logkey.Kind, f.Kind)
		return
	}
	t := target{h.members[f.Target%len(h.members)], h.relays[f.Target%len(h.relays)]}
	switch kinds[i].role {
	case holder:
		t.relay = h.findHolder()
	case leader:
		t.member = h.findLeader(ctx)
	case anyRole:
	}
	kinds[i].inject(h, ctx, t, f)
}

// findLeader returns the first member whose status says that it is the leader. If there is none, it returns the first member.
func (h *harness) findLeader(ctx context.Context) *member {
	for _, m := range h.members {
		statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		s, err := h.caller.Status(statusCtx, m.address)
		cancel()
		if err == nil && s.Member.Role == "leader" {
			return m
		}
	}
	return h.members[0]
}

// findHolder returns the relay whose execution began last, which is assumed to be the lease holder. Before any execution it returns
// the first relay.
func (h *harness) findHolder() *relay {
	last := h.resource.LastRelay()
	for _, r := range h.relays {
		if r.Name == last {
			return r
		}
	}
	return h.relays[0]
}

func (h *harness) killHolder(ctx context.Context, t target, f Fault) {
	h.recorder.recordHolderDeath(h.now())
	h.restart(ctx, t.relay.Process, f.Duration)
}

func (h *harness) killRelay(ctx context.Context, t target, f Fault) {
	h.restart(ctx, t.relay.Process, f.Duration)
}

func (h *harness) killMember(ctx context.Context, t target, f Fault) {
	h.restart(ctx, t.member.Process, f.Duration)
}

func (h *harness) killAllMembers(ctx context.Context, _ target, f Fault) {
	var work sync.WaitGroup
	for _, m := range h.members {
		work.Go(func() { h.restart(ctx, m.Process, f.Duration/4) })
	}
	work.Wait()
}

// restart kills a process, and starts it again after its downtime.
func (h *harness) restart(ctx context.Context, p *Process, downtime time.Duration) {
	if err := p.Kill(); err != nil {
		h.recorder.recordProcessViolation("%v", err)
	}
	if !wait.For(ctx, downtime) {
		return
	}
	if err := p.Start(); err != nil {
		h.recorder.recordProcessViolation("%v", err)
	}
}

func (h *harness) pauseMember(ctx context.Context, t target, f Fault) {
	defer t.member.Suspend()()
	wait.For(ctx, f.Duration)
}

func (h *harness) pauseRelay(ctx context.Context, t target, f Fault) {
	h.suspendRelay(ctx, t.relay, f.Duration)
}

// suspendRelay suspends a relay for the time d, and records the pause.
func (h *harness) suspendRelay(ctx context.Context, r *relay, d time.Duration) {
	from := h.now()
	resume := r.Suspend()
	wait.For(ctx, d)
	resume()
	h.recorder.recordPause(Pause{r.Name, from, h.now()})
}

// pauseRelayInExecution suspends a relay while a proxy holds one of its requests to the resource. The proxy forwards the request 1.5
// TTLs later, when the relay's lease has expired and another relay holds the lease.
func (h *harness) pauseRelayInExecution(ctx context.Context, t target, f Fault) {
	ttl := h.options.TTL
	heal := t.relay.resourceLink.Partition(ToTarget)
	defer heal()
	for deadline := h.now() + ttl; !t.relay.resourceLink.IsHolding(); {
		if h.now() > deadline || !wait.For(ctx, executionPollInterval) {
			return // no request within a TTL: the relay no longer holds the lease
		}
	}
	healTimer := time.AfterFunc(ttl+ttl/2, heal)
	defer healTimer.Stop()
	h.suspendRelay(ctx, t.relay, max(f.Duration, 2*ttl+ttl/2))
}

func (h *harness) partitionRelay(ctx context.Context, t target, f Fault) {
	partition(ctx, t.relay.memberLinks, f.Duration, ToTarget, FromTarget)
}

func (h *harness) partitionRelayOneWay(ctx context.Context, t target, f Fault) {
	partition(ctx, t.relay.memberLinks, f.Duration, f.Direction)
}

func (h *harness) partitionMember(ctx context.Context, t target, f Fault) {
	partition(ctx, t.member.links, f.Duration, ToTarget, FromTarget)
}

func (h *harness) partitionMemberOneWay(ctx context.Context, t target, f Fault) {
	partition(ctx, t.member.links, f.Duration, f.Direction)
}

// partition partitions links in the given directions for the time d.
func partition(ctx context.Context, links []*Proxy, d time.Duration, dirs ...Direction) {
	for _, link := range links {
		for _, dir := range dirs {
			defer link.Partition(dir)()
		}
	}
	wait.For(ctx, d)
}

func (h *harness) slowLinks(ctx context.Context, t target, f Fault) {
	for _, link := range t.member.links {
		link.SetDelay(f.Direction, slowLinkDelay)
		defer link.SetDelay(f.Direction, 0)
	}
	wait.For(ctx, f.Duration)
}

func (h *harness) resetLinks(_ context.Context, t target, _ Fault) {
	for _, link := range slices.Concat(t.member.links, t.relay.memberLinks) {
		link.ResetConnections()
	}
}

func (h *harness) fillDisk(ctx context.Context, t target, f Fault) {
	if err := t.member.FillDisk(); err != nil {
		h.recorder.recordProcessViolation("%v", err)
	}
	if !wait.For(ctx, f.Duration) {
		return
	}
	h.restart(ctx, t.member.Process, 0)
}
