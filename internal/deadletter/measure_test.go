package deadletter

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// measure enables TestMeasureAMillion, which logs its measurements of a store with a million messages.
var measure = flag.Bool("measure", false, "measure the store with a million messages")

func TestMeasureAMillion(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	dir := t.TempDir()
	s := openStore(t, dir)
	const n, batch = 1_000_000, 50
	start := time.Now()
	for i := 0; i < n; i += batch {
		var messages []Message
		for j := range batch {
			m := newMessage(fmt.Sprintf("%012x0000", (i+j)*2654435761%(1<<44)))
			m.Body = make([]byte, 400)
			messages = append(messages, m)
		}
		if err := s.Put(messages); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%.0f messages a second, %d bytes each on disk", n/time.Since(start).Seconds(), s.Size()/n)
	_ = s.Close()
	start = time.Now()
	s = openStore(t, dir)
	if _, _, err := s.Totals(); err != nil {
		t.Fatal(err)
	}
	t.Logf("open and totals in %v", time.Since(start))
	start = time.Now()
	page, _, _, err := s.Page(777_777, 100, 1000, nil)
	if err != nil || len(page) != 100 {
		t.Fatal(len(page), err)
	}
	t.Logf("a page of 100 in %v", time.Since(start))
	raw, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "VmRSS") || strings.HasPrefix(line, "RssAnon") {
			t.Log(strings.TrimSpace(line))
		}
	}
}
