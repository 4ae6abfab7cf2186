package faults

import "context"

// Kind is a kind of fault.
type Kind string

// The kinds of faults. A fault of a holder concerns the relay that holds the lease when the fault begins, and a fault of a leader the
// member that is the leader when the fault begins. Other faults concern the relay or member that the schedule draws.
const (
	HolderKilled            Kind = "holder killed"
	HolderPaused            Kind = "holder stopped"
	HolderPausedInExecution Kind = "holder stopped in an act"
	HolderPartitionedOneWay Kind = "holder cut one way"
	HolderPartitioned       Kind = "holder cut off"
	RelayKilled             Kind = "relay killed"
	RelayPaused             Kind = "relay stopped"
	RelayPartitionedOneWay  Kind = "relay cut one way"
	MemberKilled            Kind = "member killed"
	MemberPaused            Kind = "member stopped"
	LeaderKilled            Kind = "leader killed"
	LeaderPaused            Kind = "leader stopped"
	MemberPartitionedOneWay Kind = "member cut one way"
	LeaderPartitionedOneWay Kind = "leader cut one way"
	LeaderPartitioned       Kind = "leader cut off"
	AllMembersKilled        Kind = "all members killed"
	LinksSlow               Kind = "slow links"
	LinksReset              Kind = "links reset"
	DiskFull                Kind = "disk full"
	ResponsesCopied         Kind = "responses copied"
)

// role selects a fault's target by its role in the service when the fault begins.
type role int

const (
	anyRole role = iota // the target drawn by the schedule
	holder              // the relay that holds the lease
	leader              // the member that is the leader
)

// kindSpec describes a kind of fault.
type kindSpec struct {
	name   Kind
	weight int // relative probability of being drawn; 0: once in each drawn schedule, from its begin to its end
	role   role
	inject injector
}

// injector applies a fault, and returns when the fault is over.
type injector func(h *harness, ctx context.Context, t target, f Fault)

// kinds are all kinds of faults. A change of their order or weights changes the schedule that is drawn from a seed.
var kinds = []kindSpec{
	{HolderKilled, 2, holder, (*harness).killHolder},
	{HolderPaused, 1, holder, (*harness).pauseRelay},
	{HolderPausedInExecution, 2, holder, (*harness).pauseRelayInExecution},
	{HolderPartitionedOneWay, 2, holder, (*harness).partitionRelayOneWay},
	{HolderPartitioned, 1, holder, (*harness).partitionRelay},
	{RelayKilled, 1, anyRole, (*harness).killRelay},
	{RelayPaused, 1, anyRole, (*harness).pauseRelay},
	{RelayPartitionedOneWay, 1, anyRole, (*harness).partitionRelayOneWay},
	{MemberKilled, 1, anyRole, (*harness).killMember},
	{MemberPaused, 1, anyRole, (*harness).pauseMember},
	{LeaderKilled, 1, leader, (*harness).killMember},
	{LeaderPaused, 2, leader, (*harness).pauseMember},
	{MemberPartitionedOneWay, 1, anyRole, (*harness).partitionMemberOneWay},
	{LeaderPartitionedOneWay, 1, leader, (*harness).partitionMemberOneWay},
	{LeaderPartitioned, 1, leader, (*harness).partitionMember},
	{AllMembersKilled, 1, anyRole, (*harness).killAllMembers},
	{LinksSlow, 1, anyRole, (*harness).slowLinks},
	{LinksReset, 1, anyRole, (*harness).resetLinks},
	{DiskFull, 1, anyRole, (*harness).fillDisk},
	{ResponsesCopied, 0, anyRole, (*harness).copyResponses},
}
