package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/coord/replica"
)

const (
	// queueRoom messages wait for another member; what comes beyond is dropped, as a network would.
	queueRoom = 512
	// mostBatch bytes of messages go into one call, about.
	mostBatch = 4 << 20
	// callWithin is how long another member may take for a call.
	callWithin = 2 * time.Second
	// pauseAfter a call that failed.
	pauseAfter = 20 * time.Millisecond
)

// peers sends messages to other members, each by a goroutine of its own, in order.
type peers struct {
	known  map[uint64]string // addresses of those that a member which joins was told of
	reach  map[uint64]string // addresses that go before the listed ones
	queues map[uint64]chan message
	client *http.Client
	ctx    context.Context
	stop   context.CancelFunc
}

type message struct {
	address string
	raw     []byte
}

func newPeers(known, reach map[uint64]string) *peers {
	ctx, stop := context.WithCancel(context.Background())
	return &peers{
		known: known, reach: reach, queues: map[uint64]chan message{}, ctx: ctx, stop: stop,
		client: &http.Client{Timeout: callWithin, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}},
	}
}

func (p *peers) close() { p.stop() }

// send queues a message to a member. Called by the loop alone.
func (p *peers) send(to uint64, members []coord.Member, raw []byte) {
	address := p.reach[to]
	for _, m := range members {
		if address == "" && m.ID == to {
			address = m.Address
		}
	}
	if address == "" {
		address = p.known[to]
	}
	if address == "" {
		return
	}
	q := p.queues[to]
	if q == nil {
		if len(p.queues) >= 4*coord.MaxMembers {
			return // members were replaced very often in this life
		}
		q = make(chan message, queueRoom)
		p.queues[to] = q
		go p.carry(q)
	}
	select {
	case q <- message{address, raw}:
	default:
	}
}

// carry sends one member's messages, as many at once as have come meanwhile.
func (p *peers) carry(q <-chan message) {
	for {
		var m message
		select {
		case m = <-q:
		case <-p.ctx.Done():
			return
		}
		body := frame(nil, m.raw)
	more:
		for len(body) < mostBatch {
			select {
			case next := <-q:
				if next.address != m.address {
					break more // the member has moved: what was for its old address is lost
				}
				body = frame(body, next.raw)
			default:
				break more
			}
		}
		if p.post(m.address, body) != nil {
			select {
			case <-time.After(pauseAfter):
			case <-p.ctx.Done():
				return
			}
		}
	}
}

func (p *peers) post(address string, body []byte) error {
	req, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+address+api.PathRaft, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096)) // so that the connection serves again
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	return nil
}

// frame adds an envelope to a body, behind its length (4 bytes, big endian).
func frame(body, raw []byte) []byte {
	return append(binary.BigEndian.AppendUint32(body, uint32(len(raw))), raw...)
}

var errFrame = errors.New("envelopes: cut off")

// unframe reads the envelopes of a body.
func unframe(body []byte) ([]replica.Envelope, error) {
	var list []replica.Envelope
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errFrame
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			return nil, errFrame
		}
		e, err := replica.DecodeEnvelope(body[4 : 4+size])
		if err != nil {
			return nil, err
		}
		list = append(list, e)
		body = body[4+size:]
	}
	return list, nil
}
