package handover

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "hello", Value: &greeting{}}, goldentest.Form{Name: "item", Value: &Conn{}})
	goldentest.Bytes(t, "kinds.txt", []byte{packHello, packState, packOffer, packReady, packYours, packConns, packBatch, packAcked, packDone, '\n'})
	goldentest.Bytes(t, "names.txt", []byte(socketName+"\n"+lockName+"\n"+ClientConn+"\n"+AttemptConn+"\n"+IdleEndpointConn+"\n"))
}
