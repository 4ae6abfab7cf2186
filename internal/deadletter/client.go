package deadletter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

const (
	// requestTimeout bounds one question of the tool; verify reads all there is.
	requestTimeout = 5 * time.Minute
	// readHeaderTimeout bounds how long the relay waits for a question's head: only the relay's own user can ask.
	readHeaderTimeout = 5 * time.Second
)

// Client is the tool's way to a store: to a running relay's by its socket, or to a stopped one's folder.
type Client struct {
	client http.Client
	store  *Store
}

// Connect reaches a running relay.
func Connect(socket string) (*Client, error) {
	c, err := net.Dial("unix", socket)
	if err != nil {
		return nil, fmt.Errorf("no relay answers at %s: %w", socket, err)
	}
	_ = c.Close()
	return &Client{client: http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		},
	}}}, nil
}

// OpenFolder reaches the store of a relay that is not running; write says whether anything is to be changed.
func OpenFolder(dir string, write bool) (*Client, error) {
	s, err := OpenToRead(dir) // also where it will be written: a wrong folder is not to be made
	if err == nil && write {
		_ = s.Close()
		s, err = Open(dir, 0, 0)
	}
	if errors.Is(err, ErrInUse) {
		err = fmt.Errorf("%w: a relay that runs is asked by its socket", err)
	}
	if err != nil {
		return nil, err
	}
	a := &Admin{Store: s, Now: time.Now}
	return &Client{store: s, client: http.Client{Transport: handlerTransport{a.Handler()}}}, nil
}

// Close lets go of a folder.
func (a *Client) Close() error {
	if a.store != nil {
		return a.store.Close()
	}
	return nil
}

// request makes one request and decodes its answer.
func (a *Client) request(ctx context.Context, method, path string, body, into any) error {
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("request to the store: %w", err)
		}
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://relay"+path, in)
	if err != nil {
		return fmt.Errorf("request to the store: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("request to the store: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // only read
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("answer of the store: %w", err)
	}
	return nil
}

// responseError reads the error that a store has answered with.
func responseError(resp *http.Response) error {
	var answer struct{ Error string }
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || answer.Error == "" {
		return fmt.Errorf("the store answers %d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%w (%s)", ErrUnknown, answer.Error)
	}
	return errors.New(answer.Error)
}

// List gives a page of messages from a number on.
func (a *Client) List(ctx context.Context, f *Filter, from uint64, most int) (l Listing, err error) {
	q := f.Query()
	q.Set("from", fmt.Sprint(from))
	q.Set("most", fmt.Sprint(most))
	err = a.request(ctx, http.MethodGet, "/messages?"+q.Encode(), nil, &l)
	return l, err
}

// Get gives a message by the id of any of its incarnations.
func (a *Client) Get(ctx context.Context, id string) (r *Record, err error) {
	r = &Record{}
	return r, a.request(ctx, http.MethodGet, "/messages/"+url.PathEscape(id), nil, r)
}

// Body gives a message's body.
func (a *Client) Body(ctx context.Context, id string) ([]byte, error) {
	var b struct{ Body []byte }
	err := a.request(ctx, http.MethodGet, "/messages/"+url.PathEscape(id)+"/body", nil, &b)
	return b.Body, err
}

// Command has something done with a message: hold, resend, discard or attest.
func (a *Client) Command(ctx context.Context, what, id string, c Command) (r *Record, err error) {
	r = &Record{}
	return r, a.request(ctx, http.MethodPost, "/messages/"+url.PathEscape(id)+"/"+what, c, r)
}

// Import hands a message in that was exported, and tells whether it was news.
func (a *Client) Import(ctx context.Context, e *Exported) (kept bool, err error) {
	var got struct{ Kept bool }
	err = a.request(ctx, http.MethodPost, "/import", e, &got)
	return got.Kept, err
}

// Stats gives what the store holds.
func (a *Client) Stats(ctx context.Context) (s Stats, err error) {
	return s, a.request(ctx, http.MethodGet, "/stats", nil, &s)
}

// Check tells what rules would do with what is in the store now.
func (a *Client) Check(ctx context.Context, o DryRunRequest) (out []DryRunResult, err error) {
	return out, a.request(ctx, http.MethodPost, "/check", o, &out)
}

// Verify reads all there is.
func (a *Client) Verify(ctx context.Context) (v Verified, err error) {
	return v, a.request(ctx, http.MethodGet, "/verify", nil, &v)
}
