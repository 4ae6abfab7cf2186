package http1

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/goldentest"
)

// The bytes of each kind of response.
func TestGolden_ResponseBytes(t *testing.T) {
	var all bytes.Buffer
	exchange := func(name, request string, decided frontend.Response) {
		t.Helper()
		_, addr, admitted := newTestServer(t, 10)
		c := dial(t, addr)
		write(t, c, request)
		if decided.Status != 0 {
			submission := <-admitted
			decided.Close = true
			submission.Response <- decided
		}
		var response strings.Builder
		for in := bufio.NewReader(c); !strings.HasSuffix(response.String(), "\r\n\r\n"); { // no response has a body
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if strings.HasPrefix(line, "Date: ") {
				line = "Date: any\r\n"
			}
			response.WriteString(line)
		}
		all.WriteString("# " + name + "\n" + response.String())
	}
	submission := newRequest("m", "", "Content-Length: 0")
	exchange("accepted", submission, frontend.Response{Status: 202})
	exchange("shed, come again", submission, frontend.Response{Status: 429, RetryAfter: 1500 * time.Millisecond})
	exchange("shed", submission, frontend.Response{Status: 429})
	exchange("failed", submission, frontend.Response{Status: 502})
	exchange("unavailable", submission, frontend.Response{Status: 503})
	exchange("malformed", newRequest("m", ""), frontend.Response{})
	exchange("health", "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", frontend.Response{})
	goldentest.Bytes(t, "answers.txt", all.Bytes())
}
