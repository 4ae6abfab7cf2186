package server

import (
	"bytes"
	"testing"

	"frostlink/internal/coord/replica"
)

func FuzzDecodeFrames(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, replica.Envelope{Cluster: "c", From: 1, To: 2, Kind: replica.KindAnnounce}.Encode()), replica.Envelope{Kind: replica.KindRaft}.Encode()))
	f.Fuzz(func(t *testing.T, raw []byte) {
		envelopes, err := decodeFrames(raw)
		if err != nil {
			return
		}
		var encoded []byte
		for _, e := range envelopes {
			encoded = appendFrame(encoded, e.Encode())
		}
		if !bytes.Equal(raw, encoded) {
			t.Errorf("%x was encoded again as %x", raw, encoded)
		}
	})
}
