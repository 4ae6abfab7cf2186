package relay

import (
	"context"
	"errors"
	"runtime/debug"

	front "frostlink/internal/frontend/http1"
	"frostlink/internal/handover"
	"frostlink/internal/upstream/http1"
)

// quiescedNode is the state of a quiesced relay.
type quiescedNode struct {
	quiesceRequested
	requestSent bool // whether quiesceRequested has been sent to the loop
	clients     []front.DetachedConn
	idleConns   []http1.IdleConn
}

// errStateNotWritten says that the journal could not be written for a successor.
var errStateNotWritten = errors.New("the journal could not be written for the successor")

// Quiesce stops the relay, and returns the state and the connections with which a successor can continue its work.
func (n *node) Quiesce(ctx context.Context) (state any, conns []handover.Conn, err error) {
	n.quiesced = &quiescedNode{quiesceRequested: quiesceRequested{make(chan *handoverState, 1), make(chan struct{})}}
	n.loop.send(sendingStopped{})
	if n.quiesced.clients, err = n.frontend.Quiesce(ctx); err != nil {
		return nil, nil, err
	}
	n.quiesced.idleConns = n.loop.pool.Quiesce(ctx)
	n.quiesced.requestSent = true
	n.loop.send(n.quiesced.quiesceRequested)
	h := <-n.quiesced.state
	if h == nil {
		return nil, nil, errStateNotWritten
	}
	return h, n.quiescedConns(h), nil
}

// quiescedConns returns all connections to hand over to a successor.
func (n *node) quiescedConns(h *handoverState) (conns []handover.Conn) {
	timeline := n.loop.timeline
	for id, conn := range h.conns {
		conns = append(conns, handover.Conn{Kind: handover.AttemptConn, ID: id, Conn: conn})
	}
	for _, c := range n.quiesced.clients {
		conns = append(conns, handover.Conn{
			Kind: handover.ClientConn, Conn: c.Conn, Buffered: c.Buffered, Unused: c.Unused, Since: timeline.InstantOf(c.Since),
		})
	}
	for _, c := range n.quiesced.idleConns {
		conns = append(conns, handover.Conn{
			Kind: handover.IdleEndpointConn, Conn: c.Conn, Endpoint: c.Endpoint, Addr: c.Addr, Since: timeline.InstantOf(c.Since),
		})
	}
	return conns
}

// Resume resumes the relay after Quiesce.
func (n *node) Resume() {
	q := n.quiesced
	n.quiesced = nil
	n.loop.pool.Resume(q.idleConns)
	if q.requestSent {
		close(q.resume)
	} else {
		n.loop.send(sendingResumed{})
	}
	n.frontend.Resume(q.clients)
}

// Released stops all parts of this process: a successor owns the folder from now on.
func (n *node) Released() {
	n.admin.serving.Store(false)
	n.stop()
	n.goroutines.Wait()
	_ = n.loop.journal.Close() // the successor has taken over its state
	n.metrics.HandedOver()
	_ = n.listener.Close() // the successor has a listener of its own
	// This process may stay for some seconds, and its memory counts beside the successor's.
	go debug.FreeOSMemory()
}
