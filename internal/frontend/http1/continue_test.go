package http1

import (
	"bufio"
	"net/http"
	"testing"
	"time"
)

// A client that asks for 100 Continue on a connection that has been idle for longer than writeTimeout gets it. The write deadline
// of the previous response must not make the write fail.
func TestServer_SendsContinueOnAnIdleConnection(t *testing.T) {
	_, addr, _ := newTestServer(t, 10)
	c := dial(t, addr)
	in := bufio.NewReader(c)
	write(t, c, healthRequest)
	if _, err := http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(writeTimeout + 200*time.Millisecond) // until the write deadline of that response has passed
	write(t, c, newRequest("m", "", "Content-Length: 4", "Expect: 100-continue"))
	if line, err := in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
}
