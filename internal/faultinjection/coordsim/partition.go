package coordsim

import "time"

// slowNetworkDelay is the maximum delay of messages on a slow network.
const slowNetworkDelay = 600 * time.Millisecond

// drawDirection draws the direction of a one-way partition.
func (s *simulation) drawDirection() direction {
	if s.random.chance(0.5) {
		return outgoing
	}
	return incoming
}

func (s *simulation) partitionMember(t target) {
	s.network.partition(t.member.number, s.processNumbers(), bothWays, t.duration)
}

func (s *simulation) partitionMemberOneWay(t target) {
	s.network.partition(t.member.number, s.processNumbers(), s.drawDirection(), t.duration)
}

// partitionLeaderFromMembers partitions a leader from the other members, but not from clients.
func (s *simulation) partitionLeaderFromMembers(t target) {
	s.network.partition(t.member.number, s.memberNumbers(), bothWays, t.duration)
}

// partitionClientOneWay partitions a client in one direction, for half to twice the time to live of leases.
func (s *simulation) partitionClientOneWay(t target) {
	d := s.drawDirection()
	s.network.partition(t.client.number, s.processNumbers(), d, s.random.between(s.ttl/2, 2*s.ttl))
}

// delayAndPartitionClient delays messages to a client for a time, and then loses all messages from it.
func (s *simulation) delayAndPartitionClient(t target) {
	client := t.client.number
	s.network.extraDelay[client] = s.random.between(50*time.Millisecond, 280*time.Millisecond)
	s.scheduler.after(s.random.between(s.ttl/3, s.ttl), nil, func() {
		if !s.quiet {
			s.network.partition(client, s.processNumbers(), outgoing, s.ttl+t.duration)
		}
		delete(s.network.extraDelay, client)
	})
}

func (s *simulation) slowNetwork(t target) {
	s.network.maxDelay = slowNetworkDelay
	s.undoUnlessQuiet(t.duration, func() { s.network.maxDelay = s.maxDelay })
}
