package deadletter

import (
	"cmp"
	"fmt"
	"math/big"
	"strconv"
	"strings"
	"time"
)

// Order is the position of a message among the messages of its topic: an exact number or time, or the order of arrival.
type Order struct {
	Whole int64 `json:"whole,omitempty"` // integer part of the number, or seconds since 1970, rounded down
	Part  int64 `json:"part,omitempty"`  // fraction in units of 1e-18, never negative
	// Arrival breaks ties between equal numbers or times. If messages are ordered by arrival, the other fields are 0 and
	// Arrival alone decides. It increases with each message that a relay accepts, even if the relay's clock is set back.
	Arrival int64 `json:"arrival,omitempty"`
}

// compare compares two orders, as cmp.Compare does.
func (o Order) compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Whole, other.Whole), cmp.Compare(o.Part, other.Part), cmp.Compare(o.Arrival, other.Arrival))
}

// timeOrder parses a time in RFC 3339 format.
func timeOrder(text string) (Order, error) {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Order{}, fmt.Errorf("%q is not an RFC 3339 time", text)
	}
	return Order{Whole: t.Unix(), Part: int64(t.Nanosecond()) * (partsPerWhole / int64(time.Second))}, nil
}

// numberOrder parses a decimal number exactly. Parsed as floating-point numbers, two different long numbers could compare
// as equal.
func numberOrder(text string) (Order, error) {
	if len(text) > maxNumber {
		return Order{}, fmt.Errorf("number of %d bytes is too long", len(text))
	}
	if strings.ContainsAny(text, "/_xXpPbBoO") { // big.Rat accepts these characters, but a decimal number has none of them
		return Order{}, fmt.Errorf("%q is not a decimal number", text)
	}
	if i := strings.IndexAny(text, "eE"); i >= 0 {
		if exponent, err := strconv.Atoi(text[i+1:]); err != nil || exponent > maxExponent || exponent < -maxExponent {
			return Order{}, fmt.Errorf("%q is not a decimal number", text)
		}
	}
	number, ok := new(big.Rat).SetString(text)
	if !ok {
		return Order{}, fmt.Errorf("%q is not a decimal number", text)
	}
	whole := new(big.Int).Div(number.Num(), number.Denom()) // rounds down, so that the part is never negative
	part := new(big.Rat).Sub(number, new(big.Rat).SetInt(whole))
	part.Mul(part, new(big.Rat).SetInt64(partsPerWhole))
	if !whole.IsInt64() || !part.IsInt() {
		return Order{}, fmt.Errorf("%q has more digits than can be compared", text)
	}
	return Order{Whole: whole.Int64(), Part: part.Num().Int64()}, nil
}
