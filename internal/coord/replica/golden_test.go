package replica

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestStoredForms_AreUnchanged(t *testing.T) {
	goldentest.JSON(t, "forms.txt",
		goldentest.Form{Name: "change", Value: &memberChange{}}, goldentest.Form{Name: "life", Value: &Incarnation{}})
	var all []byte
	for _, kind := range []Kind{KindRaft, KindAnnounce, KindAcknowledge, KindStale} {
		all = append(all, Envelope{Cluster: "lahore", From: 1, To: 2, Incarnation: Incarnation{3, 4}, Kind: kind, Subject: Incarnation{5, 6}, Body: []byte("body")}.Encode()...)
	}
	goldentest.Bytes(t, "envelopes.bin", all)
	goldentest.Bytes(t, "lives.bin", encodeIncarnations([]Incarnation{{1, 2}, {3, 4}}))
}
