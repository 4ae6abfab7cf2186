package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"frostlink/internal/coord/replica"
	"frostlink/internal/socket/sockettest"
	"frostlink/internal/wait/waittest"
)

// copyingMember is a member that writes each of its responses twice, the copy after the next post has begun.
type copyingMember struct {
	mu       sync.Mutex
	received map[uint64]int // number of times, by sender
}

const (
	copyingMemberResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	// copiedPosts is the number of messages that are sent, copyDelay the time from a response to its copy, and sendInterval that from
	// one message to the next.
	copiedPosts  = 100
	copyDelay    = 3 * time.Millisecond
	sendInterval = 2 * time.Millisecond
)

func (m *copyingMember) serve(conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		m.record(body)
		_, _ = io.WriteString(conn, copyingMemberResponse)
		time.AfterFunc(copyDelay, func() { _, _ = io.WriteString(conn, copyingMemberResponse) })
	}
}

func (m *copyingMember) record(body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	envelopes, _ := decodeFrames(body) // an error shows as messages that are missing
	for _, e := range envelopes {
		m.received[e.From]++
	}
}

// A copy of a response that counts for a later post makes no message arrive twice, and loses none: a response tells a member only
// whether to pause before its next post.
func TestPeers_CopiedResponsesLoseNoMessage(t *testing.T) {
	m := &copyingMember{received: map[uint64]int{}}
	address := sockettest.Serve(t, "tcp", sockettest.Loopback, m.serve)
	p := newPeers(map[uint64]string{2: address}, nil)
	defer p.close()
	for i := range copiedPosts {
		p.send(2, nil, replica.Envelope{From: uint64(i), To: 2, Kind: replica.KindRaft}.Encode())
		time.Sleep(sendInterval)
	}
	allReceived := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.received) == copiedPosts
	}
	for end := time.Now().Add(waittest.Long); !allReceived() && time.Now().Before(end); {
		time.Sleep(sendInterval)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for sender, times := range m.received {
		if times != 1 {
			t.Errorf("the message of sender %d arrived %d times", sender, times)
		}
	}
	if len(m.received) != copiedPosts {
		t.Errorf("%d of %d messages arrived", len(m.received), copiedPosts)
	}
}
