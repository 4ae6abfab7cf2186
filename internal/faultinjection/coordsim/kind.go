package coordsim

import "time"

// faultKind is the name of a kind of fault in results.
type faultKind string

// The kinds of faults that are drawn. The leader kinds concern the leader if there is one, and any member otherwise.
const (
	memberCrash             faultKind = "crash"
	allMembersCrash         faultKind = "crash all"
	memberPause             faultKind = "pause"
	memberPartition         faultKind = "cut"
	memberOneWayPartition   faultKind = "cut one way"
	clientCrash             faultKind = "client crash"
	clientPause             faultKind = "client pause"
	clientOneWayPartition   faultKind = "client cut one way"
	diskFull                faultKind = "disk full"
	diskSlow                faultKind = "disk slow"
	leaderPause             faultKind = "leader pause"
	leaderOneWayPartition   faultKind = "leader cut one way"
	leadershipTransfer      faultKind = "hand on"
	diskRollback            faultKind = "set back"
	slowNetwork             faultKind = "slow network"
	leaderMemberPartition   faultKind = "leader cut from members"
	clientDelayAndPartition faultKind = "client hears late"
	crashInWrite            faultKind = "crash in a write"
	memberReplacement       faultKind = "replace"
)

// Faults that are counted when they occur, because a drawn fault does not always lead to one of them.
const (
	leaseRevoked    faultKind = "revoke"
	rollbackBegun   faultKind = "were set back"
	diskRolledBack  faultKind = "disks set back"
	memberToReplace faultKind = "were replaced"
)

// target has the candidates that were drawn for a fault, and the duration of the fault. Each kind uses some of them.
type target struct {
	member   *member
	client   *leaseClient
	duration time.Duration
}

// kindSpec describes a kind of fault.
type kindSpec struct {
	name   faultKind
	weight int  // relative probability of being drawn
	leader bool // the fault concerns the leader, if there is one
	inject func(s *simulation, t target)
}

// kinds are all kinds of faults that are drawn. A change of their order or weights changes the run of every seed.
var kinds = []kindSpec{
	{memberCrash, 1, false, (*simulation).crashMember},
	{allMembersCrash, 1, false, (*simulation).crashAllMembers},
	{memberPause, 2, false, (*simulation).pauseMember},
	{memberPartition, 2, false, (*simulation).partitionMember},
	{memberOneWayPartition, 2, false, (*simulation).partitionMemberOneWay},
	{clientCrash, 1, false, (*simulation).crashClient},
	{clientPause, 1, false, (*simulation).pauseClient},
	{clientOneWayPartition, 2, false, (*simulation).partitionClientOneWay},
	{diskFull, 1, false, (*simulation).fillDisk},
	{diskSlow, 1, false, (*simulation).slowDisk},
	{leaderPause, 1, true, (*simulation).pauseMember},
	{leaderOneWayPartition, 1, true, (*simulation).partitionMemberOneWay},
	{leadershipTransfer, 1, false, (*simulation).transferLeadership},
	{diskRollback, 1, false, (*simulation).rollBackDisk},
	{slowNetwork, 1, false, (*simulation).slowNetwork},
	{leaderMemberPartition, 2, true, (*simulation).partitionLeaderFromMembers},
	{clientDelayAndPartition, 2, false, (*simulation).delayAndPartitionClient},
	{crashInWrite, 1, false, (*simulation).crashMemberInWrite},
	{memberReplacement, 1, false, (*simulation).replaceMember},
}

// drawnKinds contains each kind once per unit of its weight.
var drawnKinds = repeatByWeight(kinds)

// clockRunKinds are the kinds of faults with clockProfile.
var clockRunKinds = []kindSpec{{clientOneWayPartition, 1, false, (*simulation).partitionClientOneWay}}

func repeatByWeight(specs []kindSpec) []kindSpec {
	var list []kindSpec
	for _, k := range specs {
		for range k.weight {
			list = append(list, k)
		}
	}
	return list
}
