package replica

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "change", Value: &change{}}, goldentest.Form{Name: "life", Value: &Life{}})
	var all []byte
	for _, kind := range []Kind{Raft, Hello, Welcome, Outdated} {
		all = append(all, Envelope{Cluster: "lahore", From: 1, To: 2, Life: Life{3, 4}, Kind: kind, Of: Life{5, 6}, Body: []byte("body")}.Encode()...)
	}
	goldentest.Bytes(t, "envelopes.bin", all)
	goldentest.Bytes(t, "lives.bin", encodeLives([]Life{{1, 2}, {3, 4}}))
}
