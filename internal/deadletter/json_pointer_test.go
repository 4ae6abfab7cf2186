package deadletter

import (
	"strings"
	"testing"
)

// The test covers the examples of RFC 6901, section 5, and invalid pointers and documents.
func TestResolvePointer_FollowsRFC6901(t *testing.T) {
	const document = `{"foo":["bar","baz"],"":0,"a/b":1,"c%d":2,"e^f":3,"g|h":4,"i\\j":5,"k\"l":6," ":7,"m~n":8,"o":{"p":{"q":"x"}},"n":null,"b":true,"01":9}`
	for pointer, want := range map[string]string{
		"/foo/0": "bar", "/foo/1": "baz", "/": "0", "/a~1b": "1", "/c%d": "2", "/e^f": "3", "/g|h": "4",
		"/i\\j": "5", "/k\"l": "6", "/ ": "7", "/m~0n": "8", "/o/p/q": "x", "/01": "9",
	} {
		if got, err := resolvePointer([]byte(document), pointer); err != nil || got != want {
			t.Errorf("%s: %q, %v, want %q", pointer, got, err, want)
		}
	}
	for _, pointer := range []string{"/foo", "/foo/2", "/foo/-", "/foo/00", "/foo/bar", "/o/p", "/none", "/n", "/b", "foo", "", "/~2", "/m~", "/o/p/q/r"} {
		if got, err := resolvePointer([]byte(document), pointer); err == nil {
			t.Errorf("%s: got %q, want an error", pointer, got)
		}
	}
	for _, body := range []string{``, `{"a":1`, `{"a":1}{`, `{"a":1,"a":2}`, `{"a":1} 2`, `{"a" 1}`, `[1]`, strings.Repeat("[", 60_000), `{"a":` + strings.Repeat("[", 99)} {
		if got, err := resolvePointer([]byte(body), "/a"); err == nil {
			t.Errorf("%.40s: got %q, want an error", body, got)
		}
	}
}

func FuzzResolvePointer(f *testing.F) {
	for _, seed := range [][2]string{{`{"a":{"b":[1,"x"]}}`, "/a/b/1"}, {`{"a":1,"a":2}`, "/a"}, {`[[[`, "/0/0"}, {`{"~":1}`, "/~0"}, {"\xff", "/"}} {
		f.Add([]byte(seed[0]), seed[1])
	}
	f.Fuzz(func(t *testing.T, body []byte, pointer string) {
		value, err := resolvePointer(body, pointer)
		if repeated, err2 := resolvePointer(body, pointer); repeated != value || (err == nil) != (err2 == nil) {
			t.Errorf("the first call returned %q, the second %q", value, repeated)
		}
		_, _ = numberOrder(value)
	})
}
