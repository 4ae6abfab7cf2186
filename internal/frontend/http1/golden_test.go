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

// TestGoldenAnswers: what clients are answered, to the byte.
func TestGoldenAnswers(t *testing.T) {
	var all bytes.Buffer
	exchange := func(name, request string, v frontend.Response) {
		_, addr, taken := testServer(t, 10)
		c := dial(t, addr)
		write(t, c, request)
		if v.Status != 0 {
			a := <-taken
			v.Close = true
			a.Response <- v
		}
		var answer strings.Builder
		for in := bufio.NewReader(c); !strings.HasSuffix(answer.String(), "\r\n\r\n"); { // no answer has a body
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if strings.HasPrefix(line, "Date: ") {
				line = "Date: any\r\n"
			}
			answer.WriteString(line)
		}
		all.WriteString("# " + name + "\n" + answer.String())
	}
	message := raw("m", "", "Content-Length: 0")
	exchange("accepted", message, frontend.Response{Status: 202})
	exchange("shed, come again", message, frontend.Response{Status: 429, RetryAfter: 1500 * time.Millisecond})
	exchange("shed", message, frontend.Response{Status: 429})
	exchange("failed", message, frontend.Response{Status: 502})
	exchange("unavailable", message, frontend.Response{Status: 503})
	exchange("malformed", raw("m", ""), frontend.Response{})
	exchange("health", "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", frontend.Response{})
	goldentest.Bytes(t, "answers.txt", all.Bytes())
}
