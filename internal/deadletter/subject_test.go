package deadletter

import (
	"math/big"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tempDir is a folder for one draw.
func tempDir(t *rapid.T) string {
	dir, err := os.MkdirTemp("", "undelivered")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// The examples of RFC 6901, section 5, and what is none of it.
func TestPointers(t *testing.T) {
	const doc = `{"foo":["bar","baz"],"":0,"a/b":1,"c%d":2,"e^f":3,"g|h":4,"i\\j":5,"k\"l":6," ":7,"m~n":8,"o":{"p":{"q":"x"}},"n":null,"b":true,"01":9}`
	for pointer, want := range map[string]string{
		"/foo/0": "bar", "/foo/1": "baz", "/": "0", "/a~1b": "1", "/c%d": "2", "/e^f": "3", "/g|h": "4",
		"/i\\j": "5", "/k\"l": "6", "/ ": "7", "/m~0n": "8", "/o/p/q": "x", "/01": "9",
	} {
		if got, err := resolvePointer([]byte(doc), pointer); err != nil || got != want {
			t.Errorf("%s: %q, %v, want %q", pointer, got, err, want)
		}
	}
	for _, pointer := range []string{"/foo", "/foo/2", "/foo/-", "/foo/00", "/foo/bar", "/o/p", "/none", "/n", "/b", "foo", "", "/~2", "/m~", "/o/p/q/r"} {
		if got, err := resolvePointer([]byte(doc), pointer); err == nil {
			t.Errorf("%s: %q", pointer, got)
		}
	}
	for _, body := range []string{``, `{"a":1`, `{"a":1}{`, `{"a":1,"a":2}`, `{"a":1} 2`, `{"a" 1}`, `[1]`, strings.Repeat("[", 60_000), `{"a":` + strings.Repeat("[", 99)} {
		if got, err := resolvePointer([]byte(body), "/a"); err == nil {
			t.Errorf("%.40s: %q", body, got)
		}
	}
}

func TestSubjectsAreRead(t *testing.T) {
	h := http.Header{
		"Parcel": {"k-7"}, "Seq": {"12.50"}, "Twice": {"a", "b"}, "At": {"2026-06-30T12:00:00.25+05:00"}, "Odd": {"\xff"},
		"Long": {strings.Repeat("x", maxSubject+1)}, "None": {""},
	}
	body := []byte(`{"parcel":{"id":"k-7","seq":9007199254740993,"at":"2026-06-30T07:00:00.250Z"}}`)
	for name, c := range map[string]struct {
		s    Subject
		want Order
		err  string
	}{
		"headers":             {Subject{Header: "Parcel", Order: byNumber, OrderHeader: "Seq"}, Order{Whole: 12, Part: perWhole / 2}, ""},
		"a number too long":   {Subject{Pointer: "/parcel/id", Order: byNumber, OrderPointer: "/parcel/seq"}, Order{Whole: 9007199254740993}, ""},
		"a time":              {Subject{Header: "parcel", Order: byTime, OrderPointer: "/parcel/at"}, Order{Whole: 1782802800, Part: perWhole / 4}, ""},
		"the same time":       {Subject{Header: "parcel", Order: byTime, OrderHeader: "at"}, Order{Whole: 1782802800, Part: perWhole / 4}, ""},
		"by arrival":          {Subject{Pointer: "/parcel/id", Order: byArrival}, Order{}, ""},
		"no header":           {Subject{Header: "Plot", Order: byArrival}, Order{}, "subject: header Plot: 0 values"},
		"two headers":         {Subject{Header: "Twice", Order: byArrival}, Order{}, "subject: header Twice: 2 values"},
		"an empty header":     {Subject{Header: "None", Order: byArrival}, Order{}, "subject: empty"},
		"odd bytes":           {Subject{Header: "Odd", Order: byArrival}, Order{}, "subject: not UTF-8"},
		"too long":            {Subject{Header: "Long", Order: byArrival}, Order{}, "subject: 257 bytes, more than 256"},
		"nothing there":       {Subject{Pointer: "/parcel/no", Order: byArrival}, Order{}, "subject: /parcel/no: not there"},
		"no order":            {Subject{Header: "Parcel", Order: byNumber, OrderHeader: "No"}, Order{}, "order: header No: 0 values"},
		"an order of no kind": {Subject{Header: "Parcel", Order: byTime, OrderHeader: "Seq"}, Order{}, `order: "12.50" is no time after RFC 3339`},
		"no number":           {Subject{Header: "Parcel", Order: byNumber, OrderHeader: "Parcel"}, Order{}, `order: "k-7" is no decimal number`},
	} {
		subject, o, err := c.s.Read(h, body)
		if c.err != "" {
			if err == nil || err.Error() != c.err {
				t.Errorf("%s: error %v, want %s", name, err, c.err)
			}
		} else if err != nil || subject != "k-7" || o != c.want {
			t.Errorf("%s: %q, %+v, %v", name, subject, o, err)
		}
	}
}

func TestNumbers(t *testing.T) {
	for _, text := range []string{
		"", "x", "0x10", "1p9", "1/2", "1_0", "Inf", "NaN", "1e99", "1e999999999999", "9223372036854775808", "0.1234567890123456789",
		strings.Repeat("1", maxNumber+1), "1e", "0b1",
	} {
		if o, err := numberOrder(text); err == nil {
			t.Errorf("%q: %+v", text, o)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.StringMatching(`-?[0-9]{1,18}(\.[0-9]{1,18})?(e-?[0-9])?`)
		a, b := number.Draw(t, "a"), number.Draw(t, "b")
		o, err := numberOrder(a)
		p, err2 := numberOrder(b)
		if err != nil || err2 != nil {
			return // more places than are told apart
		}
		x, _ := new(big.Rat).SetString(a)
		y, _ := new(big.Rat).SetString(b)
		if o.compare(p) != x.Cmp(y) || o.Part < 0 {
			t.Fatalf("%s and %s: %d, want %d", a, b, o.compare(p), x.Cmp(y))
		}
	})
	late, err := timeOrder("1969-12-31T23:59:59.5Z")
	early, err2 := timeOrder("1969-12-31T23:59:59.25Z")
	if err != nil || err2 != nil || late.compare(early) <= 0 || late.compare(Order{Whole: time.Unix(0, 0).Unix()}) >= 0 {
		t.Errorf("%+v %+v", late, early)
	}
}

func FuzzFollow(f *testing.F) {
	for _, s := range [][2]string{{`{"a":{"b":[1,"x"]}}`, "/a/b/1"}, {`{"a":1,"a":2}`, "/a"}, {`[[[`, "/0/0"}, {`{"~":1}`, "/~0"}, {"\xff", "/"}} {
		f.Add([]byte(s[0]), s[1])
	}
	f.Fuzz(func(t *testing.T, body []byte, pointer string) {
		v, err := resolvePointer(body, pointer)
		if again, err2 := resolvePointer(body, pointer); again != v || (err == nil) != (err2 == nil) {
			t.Errorf("%q, then %q", v, again)
		}
		_, _ = numberOrder(v)
	})
}
