package journal

import (
	"bytes"
	"errors"
	"testing"
)

// replayBytes replays a file with the given content.
func replayBytes(t *testing.T, j *Journal, raw []byte) *CorruptRecordError {
	t.Helper()
	corrupt, err := j.replay(bytes.NewReader(raw), len(raw))
	if err != nil {
		t.Fatal(err)
	}
	return corrupt
}

// Replay reports the offset and the cause of a corruption, and applies the records before it.
func TestReplay_ReportsCorruptRecord(t *testing.T) {
	first := appendRecord(nil, record{Kind: kindAccepted, Entry: &Entry{ID: "a"}})
	second := appendRecord(nil, record{Kind: kindAccepted, Entry: &Entry{ID: "b"}, Body: []byte("body")})
	damaged := append([]byte(nil), second...)
	damaged[len(damaged)-1] ^= 1
	for _, test := range []struct {
		name string
		tail []byte
		want error
	}{
		{"cut in the header", second[:headerSize-1], ErrTruncatedHeader},
		{"cut in the body", second[:len(second)-1], ErrTruncatedRecord},
		{"damaged body", damaged, ErrChecksumMismatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := &Journal{entries: map[string]*Entry{}}
			corrupt := replayBytes(t, j, append(append([]byte(nil), first...), test.tail...))
			if corrupt == nil || !errors.Is(corrupt, test.want) {
				t.Fatalf("got %v, want %v", corrupt, test.want)
			}
			if corrupt.Offset != len(first) || corrupt.Skipped != len(test.tail) {
				t.Errorf("at offset %d, %d bytes skipped; want %d, %d", corrupt.Offset, corrupt.Skipped, len(first), len(test.tail))
			}
			if j.Entry("a") == nil || j.Entry("b") != nil {
				t.Errorf("entries: %v", j.Entries())
			}
		})
	}
}

// A record of an unknown kind, as a later version of the program may write, has no effect.
func TestReplay_IgnoresUnknownKind(t *testing.T) {
	j := &Journal{entries: map[string]*Entry{}}
	raw := appendRecord(nil, record{Kind: kindAccepted, Entry: &Entry{ID: "a"}})
	raw = appendRecord(raw, record{Kind: "later", ID: "a"})
	if corrupt := replayBytes(t, j, raw); corrupt != nil || j.Entry("a") == nil {
		t.Errorf("corrupt: %v, entries: %v", corrupt, j.Entries())
	}
}
