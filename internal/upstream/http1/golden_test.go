package http1

import (
	"slices"
	"testing"
	"time"

	"frostlink/internal/goldentest"
	"frostlink/internal/upstream"
)

// The bytes of a request to an endpoint, with and without an idempotency key.
func TestGolden_RequestBytes(t *testing.T) {
	target := upstream.Target{Endpoint: "h1", Addr: "127.0.0.1:9"}
	keyed, err := encodeRequest(upstream.Request{Target: target, ID: "m", IdempotencyKey: "k", Body: []byte("body")}, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	unkeyed, err := encodeRequest(upstream.Request{Target: target, ID: "m"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "request.txt", slices.Concat(slices.Concat(keyed...), []byte("\n"), slices.Concat(unkeyed...)))
}
