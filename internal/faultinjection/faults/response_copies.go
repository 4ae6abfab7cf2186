package faults

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"frostlink/internal/wait"
)

const (
	// copiedShare is the share of responses that are written twice while responses are copied.
	copiedShare = 0.1
	// maxCopyDelay is the longest time from a response to its copy, so that a copy may cross the next request on its connection.
	maxCopyDelay = 60 * time.Millisecond
	// copiesStream selects the random stream, of a run's seed, from which the copies are drawn.
	copiesStream = 0x636f70696573
	// copiesBeginAt is the time from the first execution until responses are copied.
	copiesBeginAt = 500 * time.Millisecond
)

// responsePrefix begins an HTTP response.
var responsePrefix = []byte("HTTP/1.1 ")

// responseCopies decides which responses a proxy writes twice.
type responseCopies struct {
	random  *rand.Rand
	written int
}

// CopyResponses makes the proxy write a share of the responses from its target twice, drawn from a seed, until stop is called. stop
// returns the number of copies that were written.
func (p *Proxy) CopyResponses(seed uint64) (stop func() int) {
	copies := &responseCopies{random: rand.New(rand.NewPCG(seed, copiesStream))}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies = copies
	return func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.copies = nil
		return copies.written
	}
}

// drawCopy decides whether a response is written twice, and returns the time until then. copies is nil if it is not.
func (p *Proxy) drawCopy(response []byte) (copies *responseCopies, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.copies == nil || !bytes.HasPrefix(response, responsePrefix) || p.copies.random.Float64() >= copiedShare {
		return nil, 0
	}
	return p.copies, time.Duration(p.copies.random.Int64N(int64(maxCopyDelay)))
}

// copyResponse writes a response to the client once more after a while, if it is drawn.
func (p *Proxy) copyResponse(client net.Conn, response []byte) {
	copies, delay := p.drawCopy(response)
	if copies == nil {
		return
	}
	response = bytes.Clone(response)
	p.work.Go(func() {
		select {
		case <-time.After(delay):
		case <-p.closing:
			return
		}
		if !p.hold(FromTarget) {
			return
		}
		if _, err := client.Write(response); err != nil {
			return // the client has closed the connection
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		copies.written++
	})
}

// copyResponses makes all proxies write a share of the responses twice for the time of a fault.
func (h *harness) copyResponses(ctx context.Context, _ target, f Fault) {
	for i, p := range h.proxies {
		stop := p.CopyResponses(h.options.Seed + uint64(i)<<32)
		defer func() { h.recorder.countCopies(stop()) }()
	}
	wait.For(ctx, f.Duration)
}
