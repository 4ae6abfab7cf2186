package deadletter

import (
	"cmp"
	"fmt"
	"math/big"
	"strconv"
	"strings"
	"time"
)

// Order is a message's position among those of its topic: an exact number or time, or its arrival.
type Order struct {
	Whole int64 `json:"whole,omitempty"` // the number, or the seconds since 1970
	Part  int64 `json:"part,omitempty"`  // the fraction, in units of 1e-18, never below 0
	// Arrival decides where the rest is equal, as it is where the order is by arrival. It rises with each message that a
	// relay accepts, also when its clock is set back.
	Arrival int64 `json:"arrival,omitempty"`
}

// compare compares two orders, as cmp.Compare does.
func (o Order) compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Whole, other.Whole), cmp.Compare(o.Part, other.Part), cmp.Compare(o.Arrival, other.Arrival))
}

// timeOrder parses a time in the form of RFC 3339.
func timeOrder(text string) (Order, error) {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Order{}, fmt.Errorf("%q is no time after RFC 3339", text)
	}
	return Order{Whole: t.Unix(), Part: int64(t.Nanosecond()) * (perWhole / int64(time.Second))}, nil
}

// numberOrder parses a decimal number exactly: as floats, two long numbers that differ would be equal.
func numberOrder(text string) (Order, error) {
	if len(text) > maxNumber {
		return Order{}, fmt.Errorf("a number of %d bytes", len(text))
	}
	if strings.ContainsAny(text, "/_xXpPbBoO") { // accepted by big.Rat, and in no decimal number
		return Order{}, fmt.Errorf("%q is no decimal number", text)
	}
	if i := strings.IndexAny(text, "eE"); i >= 0 {
		if exponent, err := strconv.Atoi(text[i+1:]); err != nil || exponent > maxExponent || exponent < -maxExponent {
			return Order{}, fmt.Errorf("%q is no decimal number", text)
		}
	}
	number, ok := new(big.Rat).SetString(text)
	if !ok {
		return Order{}, fmt.Errorf("%q is no decimal number", text)
	}
	whole := new(big.Int).Div(number.Num(), number.Denom()) // towards minus infinity: the part is never below 0
	part := new(big.Rat).Sub(number, new(big.Rat).SetInt(whole))
	part.Mul(part, new(big.Rat).SetInt64(perWhole))
	if !whole.IsInt64() || !part.IsInt() {
		return Order{}, fmt.Errorf("%q has more places than are told apart", text)
	}
	return Order{Whole: whole.Int64(), Part: part.Num().Int64()}, nil
}
