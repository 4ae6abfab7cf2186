package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"frostlink/internal/upstream"
)

// requestPath is where endpoints accept requests.
const requestPath = "/inbox"

// encodeRequest returns a request as it is written on the wire; timeLeft is sent as
// Request-Timeout.
func encodeRequest(r upstream.Request, timeLeft time.Duration) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Addr+requestPath, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", r.Addr, err)
	}
	req.Header.Set("User-Agent", "frostlink")
	req.Header.Set("Request-Id", r.ID)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	seconds := max(timeLeft, time.Millisecond).Seconds() // the least that the header's form can say
	req.Header.Set("Request-Timeout", strconv.FormatFloat(seconds, 'f', 3, 64))
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, fmt.Errorf("request to %s: %w", r.Addr, err)
	}
	return out.Bytes(), nil
}
