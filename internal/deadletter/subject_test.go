package deadletter

import (
	"net/http"
	"strings"
	"testing"
)

func TestSubject_ReadsSubjectAndOrder(t *testing.T) {
	header := http.Header{
		"Parcel": {"k-7"}, "Seq": {"12.50"}, "Twice": {"a", "b"}, "At": {"2026-06-30T12:00:00.25+05:00"}, "Odd": {"\xff"},
		"Long": {strings.Repeat("x", maxSubject+1)}, "None": {""},
	}
	body := []byte(`{"parcel":{"id":"k-7","seq":9007199254740993,"at":"2026-06-30T07:00:00.250Z"}}`)
	for name, c := range map[string]struct {
		subject Subject
		want    Order
		err     string // empty: none
	}{
		"headers":                    {Subject{Header: "Parcel", Order: byNumber, OrderHeader: "Seq"}, Order{Whole: 12, Part: partsPerWhole / 2}, ""},
		"beyond float precision":     {Subject{Pointer: "/parcel/id", Order: byNumber, OrderPointer: "/parcel/seq"}, Order{Whole: 9007199254740993}, ""},
		"a time":                     {Subject{Header: "parcel", Order: byTime, OrderPointer: "/parcel/at"}, Order{Whole: 1782802800, Part: partsPerWhole / 4}, ""},
		"the same time":              {Subject{Header: "parcel", Order: byTime, OrderHeader: "at"}, Order{Whole: 1782802800, Part: partsPerWhole / 4}, ""},
		"by arrival":                 {Subject{Pointer: "/parcel/id", Order: byArrival}, Order{}, ""},
		"no header":                  {Subject{Header: "Plot", Order: byArrival}, Order{}, "subject: header Plot: 0 values, want one"},
		"two headers":                {Subject{Header: "Twice", Order: byArrival}, Order{}, "subject: header Twice: 2 values, want one"},
		"an empty header":            {Subject{Header: "None", Order: byArrival}, Order{}, "subject: empty"},
		"invalid UTF-8":              {Subject{Header: "Odd", Order: byArrival}, Order{}, "subject: not valid UTF-8"},
		"too long":                   {Subject{Header: "Long", Order: byArrival}, Order{}, "subject: 257 bytes, more than 256"},
		"nothing at the pointer":     {Subject{Pointer: "/parcel/no", Order: byArrival}, Order{}, "subject: /parcel/no: the body has no such value"},
		"no order":                   {Subject{Header: "Parcel", Order: byNumber, OrderHeader: "No"}, Order{}, "order: header No: 0 values, want one"},
		"an order that is no time":   {Subject{Header: "Parcel", Order: byTime, OrderHeader: "Seq"}, Order{}, `order: "12.50" is not an RFC 3339 time`},
		"an order that is no number": {Subject{Header: "Parcel", Order: byNumber, OrderHeader: "Parcel"}, Order{}, `order: "k-7" is not a decimal number`},
	} {
		t.Run(name, func(t *testing.T) {
			subject, order, err := c.subject.Read(header, body)
			if c.err != "" {
				if err == nil || err.Error() != c.err {
					t.Errorf("error %v, want %s", err, c.err)
				}
			} else if err != nil || subject != "k-7" || order != c.want {
				t.Errorf("subject %q, order %+v, %v", subject, order, err)
			}
		})
	}
}
