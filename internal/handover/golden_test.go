package handover

import (
	"testing"

	"frostlink/internal/goldentest"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt",
		goldentest.Form{Name: "hello", Value: &hello{}},
		goldentest.Form{Name: "item", Value: &Conn{}})
	goldentest.Bytes(t, "kinds.txt", []byte{
		byte(frameHello), byte(frameState), byte(frameOffer), byte(frameReady), byte(frameLock),
		byte(frameConns), byte(frameBatch), byte(frameAcknowledged), byte(frameDone), '\n',
	})
	goldentest.Bytes(t, "names.txt", []byte(socketName+"\n"+lockName+"\n"+
		string(ClientConn)+"\n"+string(AttemptConn)+"\n"+string(IdleEndpointConn)+"\n"))
}
