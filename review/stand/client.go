package stand

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

// answerWithin is how long a client waits for the answer of a relay.
const answerWithin = 400 * time.Millisecond

// Message is a message that a client hands in.
type Message struct {
	ID, Class, Key string
	Destination    int
	Timeout        time.Duration
	Header         map[string]string // further fields
	Body           string
}

// Submit hands in a message and returns the status of the answer; 0 if there was none in time.
func Submit(ctx context.Context, c *Case, r *Relay, m Message) (status int) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+"/"+m.Class, bytes.NewReader([]byte(m.Body)))
	c.check(err)
	req.Header.Set("Request-Id", m.ID)
	req.Header.Set("Tenant", Tenant)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", m.Timeout.Seconds()))
	req.Header.Set("X-Envelope", fmt.Sprintf("dest=%d", m.Destination))
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	for name, value := range m.Header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.Logf("client: %s handed in: no answer: %v", m.ID, err)
		return 0
	}
	_ = resp.Body.Close()
	c.Logf("client: %s handed in: %d", m.ID, resp.StatusCode)
	return resp.StatusCode
}
