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
	// peerQueueSize bounds the messages queued for another member; further ones are dropped.
	peerQueueSize = 512
	// maxBodyBytes is the approximate limit of the messages in one call.
	maxBodyBytes = 4 << 20
	// peerTimeout bounds a call to another member.
	peerTimeout = 2 * time.Second
	// peerBackoff is the pause after a failed call.
	peerBackoff = 20 * time.Millisecond
	// maxPeerQueues bounds the queues, one for each member to which this process has ever sent
	// messages.
	maxPeerQueues = 4 * coord.MaxMembers
	// maxDiscarded bounds the part of a response's body that is read. The body has to be read to
	// its end for the connection to be reused.
	maxDiscarded = 4096
)

// peers sends messages to other members. Each member has its own goroutine, which sends the
// messages in order.
type peers struct {
	joinAddresses map[uint64]string // addresses of the voters at the time when this member joined
	overrides     map[uint64]string // addresses that take precedence over all others
	queues        map[uint64]chan peerMessage
	client        *http.Client
	ctx           context.Context // ends the goroutines
	stop          context.CancelFunc
}

type peerMessage struct {
	address string
	raw     []byte // an encoded envelope
}

func newPeers(joinAddresses, overrides map[uint64]string) *peers {
	ctx, stop := context.WithCancel(context.Background())
	// A second response to an earlier post may count for a later one here: votes and acknowledgements of entries are messages of
	// their own, and a response only tells whether to pause before the next post.
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: api.MaxHeaderSize}
	return &peers{
		joinAddresses: joinAddresses, overrides: overrides, queues: map[uint64]chan peerMessage{}, ctx: ctx, stop: stop,
		client: &http.Client{Timeout: peerTimeout, Transport: transport},
	}
}

func (p *peers) close() { p.stop() }

// send queues a message to a member. Only the event loop calls it.
func (p *peers) send(to uint64, members []coord.Member, raw []byte) {
	address := p.address(to, members)
	if address == "" {
		return
	}
	queue := p.queues[to]
	if queue == nil {
		if len(p.queues) >= maxPeerQueues {
			return // happens only if members were replaced very often since this process started
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

// address returns a member's address, or "" if it is not known.
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

// deliver sends one member's messages. Messages that are queued during a call are sent together in
// the next call.
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

// collectBody returns the body of a call: the first message and those that are queued behind it.
func collectBody(first peerMessage, queue <-chan peerMessage) []byte {
	body := appendFrame(nil, first.raw)
	for len(body) < maxBodyBytes {
		select {
		case next := <-queue:
			if next.address != first.address {
				return body // the member's address has changed: this message, the first for the new address, is dropped
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded)) // reads the body so that the connection is reused
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	return nil
}
