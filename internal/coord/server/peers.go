package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

const (
	// peerQueueSize bounds the messages that wait for another member; more are dropped.
	peerQueueSize = 512
	// maxBodyBytes bounds the messages of one call, about.
	maxBodyBytes = 4 << 20
	// peerTimeout is how long another member may take for a call.
	peerTimeout = 2 * time.Second
	// peerBackoff is the pause after a call that failed.
	peerBackoff = 20 * time.Millisecond
	// maxPeerQueues bounds the members to which messages were ever sent.
	maxPeerQueues = 4 * coord.MaxMembers
	// maxDiscarded is how much of an answer's body is read, so that the connection can be reused.
	maxDiscarded = 4096
)

// peers sends messages to other members, each by a goroutine of its own, in order.
type peers struct {
	joinAddresses map[uint64]string // of the members that this one knew when it joined
	overrides     map[uint64]string // addresses that go before all others
	queues        map[uint64]chan peerMessage
	client        *http.Client
	ctx           context.Context // of the goroutines
	stop          context.CancelFunc
}

type peerMessage struct {
	address string
	raw     []byte // an encoded envelope
}

func newPeers(joinAddresses, overrides map[uint64]string) *peers {
	ctx, stop := context.WithCancel(context.Background())
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &peers{
		joinAddresses: joinAddresses, overrides: overrides, queues: map[uint64]chan peerMessage{}, ctx: ctx, stop: stop,
		client: &http.Client{Timeout: peerTimeout, Transport: transport},
	}
}

func (p *peers) close() { p.stop() }

// send queues a message to a member. It is called by the loop alone.
func (p *peers) send(to uint64, members []coord.Member, raw []byte) {
	address := p.address(to, members)
	if address == "" {
		return
	}
	queue := p.queues[to]
	if queue == nil {
		if len(p.queues) >= maxPeerQueues {
			return // members were replaced very often in this incarnation
		}
		queue = make(chan peerMessage, peerQueueSize)
		p.queues[to] = queue
		go p.deliver(queue)
	}
	select {
	case queue <- peerMessage{address, raw}:
	default:
	}
}

// address returns a member's address, or "" where it is not known.
func (p *peers) address(id uint64, members []coord.Member) string {
	if address := p.overrides[id]; address != "" {
		return address
	}
	for _, m := range members {
		if m.ID == id && m.Address != "" {
			return m.Address
		}
	}
	return p.joinAddresses[id]
}

// deliver delivers one member's messages, as many in one call as have come meanwhile.
func (p *peers) deliver(queue <-chan peerMessage) {
	for {
		var first peerMessage
		select {
		case first = <-queue:
		case <-p.ctx.Done():
			return
		}
		if p.post(first.address, collectBody(first, queue)) == nil {
			continue
		}
		select {
		case <-time.After(peerBackoff):
		case <-p.ctx.Done():
			return
		}
	}
}

// collectBody returns the body of a call with a message and those that are queued behind it.
func collectBody(first peerMessage, queue <-chan peerMessage) []byte {
	body := appendFrame(nil, first.raw)
	for len(body) < maxBodyBytes {
		select {
		case next := <-queue:
			if next.address != first.address {
				return body // the member has moved: the first message for its new address is lost
			}
			body = appendFrame(body, next.raw)
		default:
			return body
		}
	}
	return body
}

func (p *peers) post(address string, body []byte) error {
	req, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+address+api.PathRaft, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded)) // so that the connection is reused
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	return nil
}
