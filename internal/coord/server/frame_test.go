package server

import (
	"bytes"
	"testing"

	"frostlink/internal/coord/replica"
)

func FuzzUnframe(f *testing.F) {
	f.Add(frame(frame(nil, replica.Envelope{Cluster: "c", From: 1, To: 2, Kind: replica.KindAnnounce}.Encode()), replica.Envelope{Kind: replica.KindRaft}.Encode()))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := unframe(raw)
		if err != nil {
			return
		}
		var again []byte
		for _, e := range list {
			again = frame(again, e.Encode())
		}
		if !bytes.Equal(raw, again) {
			t.Errorf("%x became %x", raw, again)
		}
	})
}
