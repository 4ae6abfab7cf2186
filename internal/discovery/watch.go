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
	// maxSilence without a byte means that a watch is dead: an empty line comes every 2 s, and a
	// response begins within the 2 s that discovery works on a request. What a relay misses is held
	// against it 6 s after the watch fell silent, whether or not it came: that leaves time for a
	// new watch, also where all relays want one at once (see maxSilenceSpread).
	maxSilence = 3 * time.Second
	// maxListSize bounds one list of a watch, in bytes.
	maxListSize = 1 << 20
	// listPath is where discovery serves the list.
	listPath = "/catalog/members"
)

// watch follows one watch to its end, and returns how many lists it brought.
func (w *Watcher) watch(ctx context.Context) (lists int, err error) {
	if w.OnSubscribe != nil {
		w.OnSubscribe()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Guards against a watch that has fallen silent: a cut link ends no connection.
	silence := time.AfterFunc(w.maxSilence, func() { cancel(ErrSilentWatch) })
	defer silence.Stop()
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), ErrSilentWatch) {
			err = ErrSilentWatch // in place of what the cancellation led to
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
	return w.readLists(&boundedReader{from: resp.Body, onBytes: func() { silence.Reset(w.maxSilence) }})
}

// openWatch asks for what follows the list that is known.
func (w *Watcher) openWatch(ctx context.Context) (*http.Response, error) {
	query := url.Values{"stream": {"1"}, "index": {strconv.FormatInt(w.Seq, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+listPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	return resp, nil
}

// readLists reports the lists of a watch until one cannot be believed or the watch ends. It returns
// how many it reported.
func (w *Watcher) readLists(in *boundedReader) (lists int, err error) {
	for decoder := json.NewDecoder(in); ; lists++ { // a list may be indented, over several lines
		in.left = maxListSize
		list, err := decodeList(decoder)
		if errors.As(err, new(*UnreadableListError)) {
			w.Seq = 0 // what the list held is missing: ask for the whole list
		}
		if err != nil {
			return lists, err
		}
		if list.Seq < w.Seq {
			// Guards against a list that was delayed: endpoints that drain would be served again.
			// The whole list that is asked for next is what discovery has, also where its numbers
			// have begun anew.
			w.Seq = 0
			return lists, ErrStaleList
		}
		w.Seq = list.Seq
		w.onList(list, w.address)
	}
}

// decodeList reads one list.
func decodeList(decoder *json.Decoder) (list EndpointList, err error) {
	err = decoder.Decode(&list)
	switch {
	case err == nil:
		return list, nil
	case errors.Is(err, io.EOF):
		return list, ErrWatchClosed
	case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)), errors.Is(err, ErrListTooLarge):
		return list, &UnreadableListError{Err: err}
	}
	return list, fmt.Errorf("watch: %w", err)
}

// boundedReader reads no more than left bytes, and reports each read that brought some.
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
