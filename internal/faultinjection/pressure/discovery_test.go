package pressure

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// shortEntries returns entries of an endpoint list, each with an id and a destination of its own.
func shortEntries(count int) string {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"host":"%x","block":%d}`, i, i)
	}
	return strings.Join(entries, ",")
}

// writeRepeatedly writes a first text and then another one again and again, until the reader closes the connection or has got 64 MB.
func writeRepeatedly(conn net.Conn, first, repeated string) {
	_, err := io.WriteString(conn, first)
	for written := 0; err == nil && written < 64<<20; written += len(repeated) {
		_, err = io.WriteString(conn, repeated)
	}
}

// Answers of discovery, and of the receiver of notices, that have heads of very many short fields, never end, or list endpoints without
// end take the relay past none of its limits; it serves the endpoints that it knows.
func TestRelay_DiscoveryStaysWithinMemory(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const list = `{"seq":2,"whole":true,"hosts":[`
	endpoint := `{"host":"e","dial":"127.0.0.1:9","site":"a","class":"m2","block":9,"health":"SERVING","share":1},`
	for name, answer := range map[string][2]string{
		"head without end":        {ok, strings.Repeat("a:\r\n", 1000)},
		"field without end":       {ok + "a: ", strings.Repeat("x", 4096)},
		"line without end":        {ok + "\r\n", strings.Repeat("x", 4096)},
		"list without end":        {ok + "\r\n" + list, strings.Repeat(endpoint, 50)},
		"list of empty entries":   {ok + "\r\n", list + strings.Repeat("{},", 340_000) + "{}]}\n"},
		"list of short entries":   {ok + "\r\n", list + shortEntries(30_000) + "]}\n"},
		"large lists":             {ok + "\r\n", list + shortEntries(3_200) + "]}\n"},
		"lines without end":       {ok + "\r\n", strings.Repeat("{}\n", 1000)},
		"interim responses":       {"", strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 100)},
		"chunks without end":      {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\n\n\r\n", 500)},
		"an error without end":    {"HTTP/1.1 500 Error\r\n\r\n", strings.Repeat("x", 4096)},
		"trailers without an end": {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("a:\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			relay, platform := newRelay(t, smallest)
			platform.AnswerDiscovery = func(conn net.Conn) { writeRepeatedly(conn, answer[0], answer[1]) }
			start(t, relay)
			answers := newOrdinary(relay, "discovery").Run(crowdTime / 2)
			checkInTime(t, answers, minInTime)
			checkUsage(t, relay)
		})
	}
}

// Changes of the endpoint list that name ever new endpoints, of ever new destinations, take the relay past none of its limits beside a
// crowd; it serves the endpoints that it knew before.
func TestRelay_EverNewEndpointsStayWithinMemory(t *testing.T) {
	const endpoints, perList = 100_000, 50
	relay, platform := newRelay(t, smallest)
	platform.AnswerDiscovery = func(conn net.Conn) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for seq := 2; err == nil && seq < 2+endpoints/perList; seq++ {
			_, err = fmt.Fprintf(conn, `{"seq":%d,"whole":false,"hosts":[%s]}`+"\n", seq, newEntries(seq*perList, perList))
		}
		untilClosed(conn)
	}
	start(t, relay)
	crowd := NewCrowd(relay.Address, crowdSize, everyBehavior...)
	answers := newOrdinary(relay, "ever-new").Run(crowdTime)
	crowd.Close()
	_, text, err := relay.AskAdmin("/status/resources")
	t.Logf("resources: %s, %v", text, err)
	checkInTime(t, answers, minInTimeLarge)
	checkUsage(t, relay)
}

// newEntries returns entries of an endpoint list, numbered from first, each of a destination of its own.
func newEntries(first, count int) string {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"host":"new-endpoint-%d","dial":"127.78.%d.%d:8443","site":"a","class":"m2","block":%d,"health":"SERVING","share":1}`,
			first+i, i/250, 1+i%250, first+i)
	}
	return strings.Join(entries, ",")
}
