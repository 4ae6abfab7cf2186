package coordsim

import (
	"fmt"
	"time"

	"frostlink/internal/coord/replica"
)

const (
	// maxReadyPerRound bounds the calls of ProcessReady in a round.
	maxReadyPerRound = 100
	// minWriteDelay is the shortest duration of a write to the disk.
	minWriteDelay = 100 * time.Microsecond
)

// round has the core process its pending work. The core's writes take time, in which the member does nothing else; each output is
// emitted when the writes before it are on the disk.
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
	last   *replica.WriteBatch // nil: no write yet
}

func (w *roundWriter) write(batch replica.WriteBatch) error {
	m := w.member
	if m.diskFull {
		return errDiskFull
	}
	if w.last != nil { // writes are sequential: the previous one is on the disk before the next one begins
		m.disk.Apply(*w.last)
	}
	w.last = &batch
	m.writtenAt += m.sim.random.between(minWriteDelay, m.maxWriteDelay)
	m.writing = w.last
	return nil
}

// completeWrite applies the last write to the disk if the time writtenAt has been reached.
func (m *member) completeWrite() {
	if m.writing != nil && m.sim.now() >= m.writtenAt {
		m.disk.Apply(*m.writing)
		m.writing = nil
	}
}

// emitWritten emits output as soon as the writes before it are on the disk.
func (m *member) emitWritten(out replica.Output) {
	incarnation := m.incarnation
	m.sim.scheduler.after(m.writtenAt-m.sim.now(), nil, func() { m.emit(out, incarnation) })
}

// emit sends the messages, replies and hints of an output, unless the incarnation that made it has crashed. A paused member emits
// the output after the pause.
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

// sendToPeer sends a message to another member. The message is encoded and decoded on the way.
func (m *member) sendToPeer(e replica.Envelope) {
	to := m.sim.memberByID(e.To)
	if to == nil {
		return
	}
	decoded, err := replica.DecodeEnvelope(e.Encode())
	if err != nil {
		panic(fmt.Errorf("decode an encoded message: %w", err)) // the scheduler reports it as a violation
	}
	m.sim.network.send(&m.process, &to.process, func() {
		to.core.Receive(decoded)
		to.round()
	})
}
