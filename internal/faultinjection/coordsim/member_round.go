package coordsim

import (
	"fmt"
	"time"

	"frostlink/internal/coord/replica"
)

const (
	// maxReadyPerRound bounds how often a core is asked for its work in a round.
	maxReadyPerRound = 100
	// minWriteDelay is the shortest write to a disk.
	minWriteDelay = 100 * time.Microsecond
)

// round lets the core work until it has nothing to do. Its writes take time, in which nothing else happens, and its output leaves
// afterwards.
func (m *member) round() {
	m.completeWrite()
	m.writing, m.writtenAt = nil, m.sim.now()
	w := &roundWriter{member: m}
	for range maxReadyPerRound {
		more, err := m.core.ProcessReady(m.clock(m.sim.now()), 0, w.write, m.emitWritten)
		if err != nil {
			m.fail(err)
			return
		}
		if !more {
			break
		}
	}
	m.pause(m.writtenAt)
}

// roundWriter writes the batches of one round to a member's disk.
type roundWriter struct {
	member *member
	last   *replica.WriteBatch // nil: none yet
}

func (w *roundWriter) write(batch replica.WriteBatch) error {
	m := w.member
	if m.diskFull {
		return errDiskFull
	}
	if w.last != nil { // writes are in order: the one before is on the disk when the next one begins
		m.disk.Apply(*w.last)
	}
	w.last = &batch
	m.writtenAt += m.sim.random.between(minWriteDelay, m.maxWriteDelay)
	m.writing = w.last
	return nil
}

// completeWrite applies the last write to the disk if it has reached it.
func (m *member) completeWrite() {
	if m.writing != nil && m.sim.now() >= m.writtenAt {
		m.disk.Apply(*m.writing)
		m.writing = nil
	}
}

// emitWritten emits output when what was written before is on the disk.
func (m *member) emitWritten(out replica.Output) {
	incarnation := m.incarnation
	m.sim.scheduler.after(m.writtenAt-m.sim.now(), nil, func() { m.emit(out, incarnation) })
}

// emit emits output of an incarnation, unless it has crashed. If it is paused, the output leaves afterwards.
func (m *member) emit(out replica.Output, incarnation int) {
	if !m.running || m.incarnation != incarnation {
		return
	}
	if m.sim.now() < m.busyUntil && m.busyUntil > m.writtenAt {
		m.sim.scheduler.after(0, &m.process, func() { m.emit(out, incarnation) })
		return
	}
	for _, e := range out.Messages {
		m.sendToPeer(e)
	}
	for _, c := range out.Completions {
		if complete := m.pending[c.Tag]; complete != nil {
			delete(m.pending, c.Tag)
			complete(c)
		}
	}
	for _, session := range out.ChangedSessions {
		if c := m.sessions[session]; c != nil {
			m.sim.network.send(&m.process, &c.process, c.handleHint)
		}
	}
}

// sendToPeer sends a message to another member, through its encoding.
func (m *member) sendToPeer(e replica.Envelope) {
	to := m.sim.memberByID(e.To)
	if to == nil {
		return
	}
	decoded, err := replica.DecodeEnvelope(e.Encode())
	if err != nil {
		panic(fmt.Errorf("a member's own message: %w", err)) // reported as a violation
	}
	m.sim.network.send(&m.process, &to.process, func() {
		to.core.Receive(decoded)
		to.round()
	})
}
