package pressure

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// Answers of a coordination service, and of the monitor that gets heartbeats, that have heads of very many short fields, never end, or
// list leases without end take the relay past none of its limits.
func TestRelay_CoordinationStaysWithinMemory(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string][2]string{
		"head without end":   {ok, strings.Repeat("a:\r\n", 1000)},
		"body without end":   {ok + "\r\n", strings.Repeat(" ", 64<<10)},
		"leases without end": {ok + "\r\n" + `{"leases":[`, strings.Repeat("{},", 20_000)},
		"many leases":        {ok + "\r\n" + `{"leases":[` + strings.Repeat("{},", 1_000_000) + "{}]}", ""},
		"many grants":        {ok + "\r\n" + `{"result":{"held":[` + strings.Repeat("{},", 1_000_000) + "{}]}}", ""},
	} {
		t.Run(name, func(t *testing.T) {
			relay, _ := newRelay(t, smallest)
			service := serveAnswers(t, func(conn net.Conn) {
				if answer[1] == "" {
					_, _ = io.WriteString(conn, answer[0])
					return
				}
				writeRepeatedly(conn, answer[0], answer[1])
			})
			relay.Operator = fmt.Sprintf("[coordination]\ncluster = \"c\"\nmembers = [\"1=%s\"]\n[coordination.beat]\nurl = \"http://%s/beat\"\nevery_s = 1\n", service, service)
			start(t, relay)
			answers := newOrdinary(relay, "coordination").Run(crowdTime / 2)
			checkInTime(t, answers, minInTime)
			checkUsage(t, relay)
		})
	}
}

// serveAnswers serves a stand-in that writes an answer as soon as a request begins, and returns its address.
func serveAnswers(t *testing.T, answer func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					answer(conn)
				}
			}()
		}
	}()
	return l.Addr().String()
}
