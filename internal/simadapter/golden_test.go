package simadapter

import (
	"testing"

	"frostlink/internal/goldentest"
)

// TestGoldenSession checks the exact bytes of the replies to a session.
func TestGoldenSession(t *testing.T) {
	call := func(id, destination string) string {
		return `["call",0,"` + id + `",false,0,false,false,null,4.5,null,0,` + destination + `]`
	}
	out, err := serve(t, `["round",1]`, begin, `["manifest",0,[[0,5,"h1",1,"in_service",0,null],[0,5,"h2",1,"in_service",0,null]]]`, `["update",0,"SAVED",1,0]`,
		call("m", "5"), call("n", "5"), call("nowhere", "9"), `["your_turn"]`,
		`["round",1.2]`, `["answer",0,"m","h1",0,"Ok",null,0.1,true,{"x0":1}]`, call("o", "5"), `["your_turn"]`,
		`["round",9]`, `["your_turn"]`)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "session.txt", []byte(out))
}
