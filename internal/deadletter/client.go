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
	// requestTimeout limits the time for one request. It is long because a verification reads the whole store.
	requestTimeout = 5 * time.Minute
	// readHeaderTimeout limits how long the relay waits for the header of a request. The socket's mode lets only the
	// relay's own user connect.
	readHeaderTimeout = 5 * time.Second
)

// Client accesses the store of a running relay over its socket, or the store of a stopped relay in its folder.
type Client struct {
	client http.Client
	store  *Store // nil: accessed over a socket
}

// Connect returns a client of a running relay. It fails if no relay listens on the socket.
func Connect(socket string) (*Client, error) {
	conn, err := net.Dial("unix", socket)
	if err != nil {
		return nil, fmt.Errorf("no relay answers at %s: %w", socket, err)
	}
	_ = conn.Close()
	return &Client{client: http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		},
	}}}, nil
}

// OpenFolder returns a client of the store of a stopped relay. Changes are possible only if write is set.
func OpenFolder(dir string, write bool) (*Client, error) {
	// OpenToRead fails if the folder has no store. Open would create one, for example in a folder whose name is misspelled.
	store, err := OpenToRead(dir)
	if err == nil && write {
		_ = store.Close()
		store, err = Open(dir, 0, 0)
	}
	if errors.Is(err, ErrInUse) {
		err = fmt.Errorf("%w: to access the store of a running relay, use its socket", err)
	}
	if err != nil {
		return nil, err
	}
	admin := &Admin{Store: store, Now: time.Now}
	return &Client{store: store, client: http.Client{Transport: handlerTransport{admin.Handler()}}}, nil
}

// Close closes a store that was opened in a folder. It does nothing for a client that uses a socket.
func (c *Client) Close() error {
	if c.store != nil {
		return c.store.Close()
	}
	return nil
}

// request sends one request and decodes the response.
func (c *Client) request(ctx context.Context, method, path string, body, into any) error {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("request to the store: %w", err)
		}
		content = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://relay"+path, content)
	if err != nil {
		return fmt.Errorf("request to the store: %w", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("request to the store: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // an error of Close does not matter after reading
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("response of the store: %w", err)
	}
	return nil
}

// responseError returns the error that a response describes.
func responseError(resp *http.Response) error {
	var body struct{ Error string }
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == "" {
		return fmt.Errorf("the store responded with status %d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%w (%s)", ErrUnknown, body.Error)
	}
	return errors.New(body.Error)
}

// List returns a page of at most limit messages that match a filter, beginning at a record's number.
func (c *Client) List(ctx context.Context, filter *Filter, from uint64, limit int) (listing Listing, err error) {
	query := filter.Query()
	query.Set("from", fmt.Sprint(from))
	query.Set("most", fmt.Sprint(limit))
	err = c.request(ctx, http.MethodGet, "/messages?"+query.Encode(), nil, &listing)
	return listing, err
}

// Get returns a message by the id of any of its incarnations.
func (c *Client) Get(ctx context.Context, id string) (r *Record, err error) {
	r = &Record{}
	return r, c.request(ctx, http.MethodGet, "/messages/"+url.PathEscape(id), nil, r)
}

// Body returns a message's body.
func (c *Client) Body(ctx context.Context, id string) ([]byte, error) {
	var response struct{ Body []byte }
	err := c.request(ctx, http.MethodGet, "/messages/"+url.PathEscape(id)+"/body", nil, &response)
	return response.Body, err
}

// Command applies a command to a message, and returns the changed message. The name is hold, resend, discard or attest.
func (c *Client) Command(ctx context.Context, name, id string, command Command) (r *Record, err error) {
	r = &Record{}
	return r, c.request(ctx, http.MethodPost, "/messages/"+url.PathEscape(id)+"/"+name, command, r)
}

// Import stores an exported message. It reports false if the store had the message already.
func (c *Client) Import(ctx context.Context, message *Exported) (stored bool, err error) {
	var response struct{ Kept bool }
	err = c.request(ctx, http.MethodPost, "/import", message, &response)
	return response.Kept, err
}

// Stats describes the content of the store.
func (c *Client) Stats(ctx context.Context) (stats Stats, err error) {
	err = c.request(ctx, http.MethodGet, "/stats", nil, &stats)
	return stats, err
}

// Check returns what rules would do with the current content of the store.
func (c *Client) Check(ctx context.Context, dryRun DryRunRequest) (results []DryRunResult, err error) {
	err = c.request(ctx, http.MethodPost, "/check", dryRun, &results)
	return results, err
}

// Verify checks the whole store for damage.
func (c *Client) Verify(ctx context.Context) (verified Verified, err error) {
	err = c.request(ctx, http.MethodGet, "/verify", nil, &verified)
	return verified, err
}
