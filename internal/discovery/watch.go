package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// maxSilence is the time without a byte after which a watch counts as dead. Discovery sends an
	// empty line every 2 s, and begins a response within the 2 s for which it works on a request.
	// 6 s after a watch fell silent, a relay counts as notified of the changes that it misses, whether
	// or not it has received them. Until then there is time for a new watch, even if the watches of
	// all relays fall silent at the same time (see maxSilenceSpread).
	maxSilence = 3 * time.Second
	// maxListSize bounds one list of a watch, in bytes.
	maxListSize = 1 << 20
	// maxHeaderSize bounds the header of a response, in bytes.
	maxHeaderSize = 8 << 10
	// listPath is the path at which discovery serves the list.
	listPath = "/catalog/members"
)

// watch runs one watch until it ends, and returns the number of lists that it reported and the error
// that ended it.
func (w *Watcher) watch(ctx context.Context) (lists int, err error) {
	if w.OnSubscribe != nil {
		w.OnSubscribe()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Ends a watch that has fallen silent, since a broken link does not close the connection.
	silence := time.AfterFunc(w.maxSilence, func() { cancel(ErrSilentWatch) })
	defer silence.Stop()
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), ErrSilentWatch) {
			err = ErrSilentWatch // instead of the error that the cancellation caused
		}
	}()
	resp, err := w.openWatch(ctx)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, &StatusError{Status: resp.Status}
	}
	return w.readLists(ctx, &boundedReader{from: resp.Body, onBytes: func() { silence.Reset(w.maxSilence) }})
}

// openWatch requests the changes after the list with the number w.Seq.
func (w *Watcher) openWatch(ctx context.Context) (*http.Response, error) {
	query := url.Values{"stream": {"1"}, "index": {strconv.FormatInt(w.Seq, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+listPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("watch request: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("watch request: %w", err)
	}
	return resp, nil
}

// readLists reports the lists of a watch until one is unreadable or stale, or the watch ends. It
// returns the number of reported lists.
func (w *Watcher) readLists(ctx context.Context, in *boundedReader) (lists int, err error) {
	pace := newPace(time.Now())
	for decoder := json.NewDecoder(in); ; lists++ { // a list may be indented and span several lines
		in.left = maxListSize
		list, err := decodeList(decoder, w.MaxEndpoints)
		if errors.As(err, new(*UnreadableListError)) {
			w.Seq = 0 // the content of the list is lost: the next watch requests the whole list
		}
		if err != nil {
			return lists, err
		}
		if list.Seq < w.Seq {
			// A list that was delayed would make draining endpoints take requests again. The next
			// watch requests the whole list, which is correct even if discovery has restarted its
			// sequence numbers.
			w.Seq = 0
			return lists, ErrStaleList
		}
		if !pace.wait(ctx, len(list.Endpoints)) {
			return lists, fmt.Errorf("read watch: %w", context.Cause(ctx))
		}
		w.Seq = list.Seq
		w.onList(list, w.address)
	}
}

// decodeList reads and decodes one list of at most maxEndpoints endpoints; 0: of any number.
func decodeList(decoder *json.Decoder, maxEndpoints int) (list EndpointList, err error) {
	type fields EndpointList
	bounded := struct {
		*fields
		Endpoints boundedEndpoints `json:"hosts"`
	}{fields: (*fields)(&list), Endpoints: boundedEndpoints{limit: maxEndpoints}}
	err = decoder.Decode(&bounded)
	list.Endpoints = bounded.Endpoints.endpoints
	switch {
	case err == nil:
		return list, nil
	case errors.Is(err, io.EOF):
		return list, ErrWatchClosed
	case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)), errors.Is(err, ErrListTooLarge), errors.Is(err, ErrTooManyEndpoints):
		return list, &UnreadableListError{Err: err}
	}
	return list, fmt.Errorf("read watch: %w", err)
}

// boundedReader reads at most left bytes, and calls onBytes after each read that returned some.
type boundedReader struct {
	from    io.Reader
	left    int
	onBytes func()
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrListTooLarge
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	if b.left -= n; n > 0 {
		b.onBytes()
	}
	return n, err //nolint:wrapcheck // readers compare with io.EOF
}
