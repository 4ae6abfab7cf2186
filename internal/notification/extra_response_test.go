package notification

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"frostlink/internal/socket/sockettest"
	"frostlink/internal/wait/waittest"
)

// copyingPlatform acknowledges the first post on each connection. When a second post arrives on the same connection, it writes a
// copy of the acknowledgement, and its process dies before it has handled the post.
type copyingPlatform struct {
	mu      sync.Mutex
	handled []string // the bodies of the posts that were handled
}

func (p *copyingPlatform) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for first := true; ; first = false {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if first {
			p.mu.Lock()
			p.handled = append(p.handled, string(body))
			p.mu.Unlock()
		}
		if _, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil || !first {
			return
		}
	}
}

func (p *copyingPlatform) hasHandled(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.handled, func(body string) bool { return strings.Contains(body, `"`+id+`"`) })
}

// A copy of the acknowledgement of one post does not acknowledge the notices of the next, which the platform has not handled.
func TestNotifier_CopiedAcknowledgementDoesNotAcknowledgeOtherNotices(t *testing.T) {
	platform := &copyingPlatform{}
	address := sockettest.Serve(t, "tcp", sockettest.Loopback, platform.serve)
	acknowledged := make(chan []string, 2)
	n := New(address, func(ids []string) { acknowledged <- ids })
	n.client.Timeout = waittest.Long
	go n.Run(t.Context())
	for _, id := range []string{"first", "second"} {
		n.Enqueue(Notice{ID: id, Status: Deferred})
		if ids := waittest.Receive(t, acknowledged); !slices.Equal(ids, []string{id}) {
			t.Fatalf("acknowledged %v, want %q", ids, id)
		}
		if !platform.hasHandled(id) {
			t.Errorf("%q was acknowledged, but the platform has not handled it", id)
		}
		time.Sleep(settleTime)
	}
}

// settleTime lets the client cache the connection of a post before the next one.
const settleTime = 20 * time.Millisecond
