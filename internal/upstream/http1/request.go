package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"frostlink/internal/upstream"
)

const (
	// requestPath is the path at which endpoints accept requests.
	requestPath = "/inbox"
	// joinedBodySize is the size in bytes up to which a body is written together with its head. A larger one is written from where
	// it is, so that a request in flight takes no second copy of it.
	joinedBodySize = 2 << 10
	// maxPartSize is the size in bytes of the parts in which a larger body is written. The write deadline is checked before each.
	maxPartSize = 32 << 10
)

// encodeRequest returns the bytes of a request in the parts in which they are written. timeLeft is the value of its
// Request-Timeout header.
func encodeRequest(r upstream.Request, timeLeft time.Duration) (parts [][]byte, err error) {
	header := http.Header{"Request-Id": {r.ID}}
	if r.IdempotencyKey != "" {
		header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	seconds := max(timeLeft, time.Millisecond).Seconds() // 1 ms is the least that the header can express
	header.Set("Request-Timeout", strconv.FormatFloat(seconds, 'f', 3, 64))
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST %s HTTP/1.1\r\nHost: %s\r\nUser-Agent: frostlink\r\nContent-Length: %d\r\n", requestPath, r.Addr, len(r.Body))
	if err := header.Write(&out); err != nil {
		return nil, fmt.Errorf("encode request to %s: %w", r.Addr, err)
	}
	out.WriteString("\r\n")
	if len(r.Body) <= joinedBodySize {
		out.Write(r.Body)
		return [][]byte{out.Bytes()}, nil
	}
	return slices.AppendSeq([][]byte{out.Bytes()}, slices.Chunk(r.Body, maxPartSize)), nil
}
