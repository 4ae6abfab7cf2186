package replica

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Incarnation identifies one run of a member. Its number is one higher than that of the previous
// run, as recorded on the member's own disk. The nonce distinguishes two runs that were started
// from copies of the same disk.
type Incarnation struct {
	Number uint64 `json:"number"`
	Nonce  uint64 `json:"nonce"`
}

// after reports whether an incarnation has a higher number than another incarnation of the same
// member.
func (i Incarnation) after(other Incarnation) bool { return i.Number > other.Number }

// incarnationBytes is the size of an encoded incarnation.
const incarnationBytes = 16

// encodeIncarnations encodes each incarnation as its number and nonce, 8 bytes each, big-endian.
func encodeIncarnations(list []Incarnation) []byte {
	raw := make([]byte, 0, incarnationBytes*len(list))
	for _, i := range list {
		raw = binary.BigEndian.AppendUint64(raw, i.Number)
		raw = binary.BigEndian.AppendUint64(raw, i.Nonce)
	}
	return raw
}

// decodeIncarnations decodes a list of incarnations. It ignores an incomplete one at the end.
func decodeIncarnations(raw []byte) []Incarnation {
	var list []Incarnation
	for ; len(raw) >= incarnationBytes; raw = raw[incarnationBytes:] {
		list = append(list, Incarnation{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])})
	}
	return list
}

// incarnationTracker tracks a member's own incarnations and those of its peers.
type incarnationTracker struct {
	own          Incarnation
	history      []Incarnation          // all incarnations of this member, the present one last
	peers        map[uint64]Incarnation // latest known incarnation of each other member
	acknowledged map[uint64]bool        // members that have the present incarnation on disk
	announced    bool                   // a majority of the voters has the present incarnation on disk: the member takes part in consensus
	ticks        int
}

// newIncarnationTracker starts a new incarnation of the member to which the persistent state
// belongs.
func newIncarnationTracker(cfg Config, state PersistentState) incarnationTracker {
	t := incarnationTracker{
		own:          Incarnation{Number: 1, Nonce: cfg.Nonce},
		peers:        maps.Clone(state.PeerIncarnations),
		acknowledged: map[uint64]bool{},
	}
	earlier := state.Incarnations
	if n := len(earlier); n > 0 {
		t.own.Number = earlier[n-1].Number + 1
		earlier = earlier[max(0, n+1-MaxIncarnations):]
	}
	t.history = append(earlier[:len(earlier):len(earlier)], t.own)
	if t.peers == nil {
		t.peers = map[uint64]Incarnation{}
	}
	return t
}

// announcementTargets returns the ids of the other members, to which this member announces its
// incarnation, and the number of voters among them that have to acknowledge the incarnation before
// this member takes part in consensus.
func (c *Core) announcementTargets() (ids []uint64, needed int) {
	voters := slices.Concat(c.confState.GetVoters(), c.confState.GetVotersOutgoing())
	if len(voters) == 0 {
		voters = c.cfg.Peers
	}
	slices.Sort(voters)
	voters = slices.Compact(voters)
	needed = len(voters)/2 + 1
	if slices.Contains(voters, c.cfg.ID) {
		needed--
	}
	for _, id := range slices.Concat(voters, c.confState.GetLearners()) {
		if id != c.cfg.ID {
			ids = append(ids, id)
		}
	}
	return ids, needed
}

// announce announces this incarnation to the members that have not acknowledged it.
func (c *Core) announce() {
	ids, needed := c.announcementTargets()
	acknowledged := 0
	for _, id := range ids {
		if c.incarnations.acknowledged[id] {
			if !slices.Contains(c.confState.GetLearners(), id) {
				acknowledged++
			}
			continue
		}
		c.send(Envelope{To: id, Kind: KindAnnounce, Body: encodeIncarnations(c.incarnations.history)})
	}
	if acknowledged >= needed {
		c.incarnations.announced = true
	}
}

// announceAgain repeats the announcement every announceTicks ticks, since it may have been lost.
func (c *Core) announceAgain() {
	c.incarnations.ticks++
	if c.incarnations.ticks%announceTicks == 0 {
		c.announce()
	}
}

// acceptIncarnation reports whether messages of an envelope's sender are accepted. The sender must
// be in its latest known incarnation, or announce a later one whose list contains the known one. If
// none is known, any announcement is accepted. A sender whose message or disk is stale gets a
// KindStale reply.
func (c *Core) acceptIncarnation(e Envelope) bool {
	known := c.incarnations.peers[e.From]
	switch {
	case e.Incarnation == known:
		return true
	case e.Incarnation.after(known) && e.Kind != KindAnnounce:
		return false // the sender repeats its announcement until this member acknowledges it
	case e.Incarnation.after(known) && (known == Incarnation{} || slices.Contains(decodeIncarnations(e.Body), known)):
		c.rememberPeer(e.From, e.Incarnation)
		return true
	}
	// The message comes from an earlier incarnation, or the sender's disk lacks the incarnation
	// that this member has recorded for it.
	c.send(Envelope{To: e.From, Kind: KindStale, Subject: known})
	return false
}

// rememberPeer records a peer's incarnation. The next round saves it.
func (c *Core) rememberPeer(id uint64, incarnation Incarnation) {
	c.incarnations.peers[id] = incarnation
	if c.pendingWrite.PeerIncarnations == nil {
		c.pendingWrite.PeerIncarnations = map[uint64]Incarnation{}
	}
	c.pendingWrite.PeerIncarnations[id] = incarnation
}

// handleIncarnationReply handles another member's reply about this member's incarnations. The reply
// is accepted whatever the sender's own incarnation is: if this member's disk was set back, the
// latest incarnations of its peers are missing on it.
func (c *Core) handleIncarnationReply(e Envelope) {
	switch {
	case e.Kind == KindAcknowledge && e.Subject == c.incarnations.own:
		c.incarnations.acknowledged[e.From] = true
		if !c.incarnations.announced {
			c.announce()
		}
	case e.Kind == KindStale && !slices.Contains(c.incarnations.history, e.Subject):
		c.fail(&StaleDiskError{Peer: e.From, Known: e.Subject.Number, Own: c.incarnations.own.Number})
	}
}
