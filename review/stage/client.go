package stage

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientWait is how long a client waits for a relay's answer.
const clientWait = 400 * time.Millisecond

// Message is a message that a client hands in.
type Message struct {
	ID       string
	Key      string // idempotency key, in a keyed class
	Class    string
	Dest     int
	TimeoutS float64 // how long it may still be delivered
	Body     string

	SentAt time.Duration // when the client handed it in
	Status int           // the relay's answer; 0: none
}

// Accepted reports whether the relay has taken the message on.
func (m *Message) Accepted() bool {
	return m.Status == http.StatusAccepted || m.Status == http.StatusOK
}

// Client is a client that keeps its connections.
type Client struct {
	stage *Stage
	addr  string
	http  http.Client
}

// NewClient returns a client of a relay.
func (s *Stage) NewClient(addr string) *Client {
	return &Client{stage: s, addr: addr, http: http.Client{Timeout: clientWait, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}}
}

// Submit hands a message in, and returns whether it was taken on.
func (c *Client) Submit(m *Message) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.addr+"/notice", strings.NewReader(m.Body))
	c.stage.Check(err, "request")
	r.URL.Path = "/" + m.Class
	r.Header.Set("Request-Id", m.ID)
	r.Header.Set("Tenant", "lahore-office")
	r.Header.Set("Request-Timeout", strconv.FormatFloat(m.TimeoutS, 'f', 3, 64))
	r.Header.Set("X-Envelope", "dest="+strconv.Itoa(m.Dest))
	if m.Key != "" {
		r.Header.Set("Idempotency-Key", m.Key)
	}
	m.SentAt = c.stage.Now()
	if resp, err := c.http.Do(r); err == nil {
		_ = resp.Body.Close()
		m.Status = resp.StatusCode
	}
	c.stage.Record("client: %s %s to destination %d, key %q, %.1f s: answer %d", m.Class, m.ID, m.Dest, m.Key, m.TimeoutS, m.Status)
	return m.Accepted()
}

// get returns the status of a GET, or 0 if there is no answer.
func get(url string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
