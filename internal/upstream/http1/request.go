package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"frostlink/internal/upstream"
)

// requestPath is the path at which endpoints accept requests.
const requestPath = "/inbox"

// encodeRequest returns the bytes of a request. timeLeft is the value of its Request-Timeout header.
func encodeRequest(r upstream.Request, timeLeft time.Duration) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Addr+requestPath, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("encode request to %s: %w", r.Addr, err)
	}
	req.Header.Set("User-Agent", "frostlink")
	req.Header.Set("Request-Id", r.ID)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	seconds := max(timeLeft, time.Millisecond).Seconds() // 1 ms is the least that the header can express
	req.Header.Set("Request-Timeout", strconv.FormatFloat(seconds, 'f', 3, 64))
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, fmt.Errorf("encode request to %s: %w", r.Addr, err)
	}
	return out.Bytes(), nil
}
