package deadletter

import (
	"math/big"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestOrder_ComparesNumbersExactly(t *testing.T) {
	for _, text := range []string{
		"", "x", "0x10", "1p9", "1/2", "1_0", "Inf", "NaN", "1e99", "1e999999999999", "9223372036854775808", "0.1234567890123456789",
		strings.Repeat("1", maxNumber+1), "1e", "0b1",
	} {
		if o, err := numberOrder(text); err == nil {
			t.Errorf("%q: got %+v, want an error", text, o)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.StringMatching(`-?[0-9]{1,18}(\.[0-9]{1,18})?(e-?[0-9])?`)
		a, b := number.Draw(t, "a"), number.Draw(t, "b")
		orderA, err := numberOrder(a)
		orderB, err2 := numberOrder(b)
		if err != nil || err2 != nil {
			return // more digits than an Order can represent
		}
		ratA, _ := new(big.Rat).SetString(a)
		ratB, _ := new(big.Rat).SetString(b)
		if orderA.compare(orderB) != ratA.Cmp(ratB) || orderA.Part < 0 {
			t.Fatalf("comparing %s with %s: got %d, want %d", a, b, orderA.compare(orderB), ratA.Cmp(ratB))
		}
	})
	later, err := timeOrder("1969-12-31T23:59:59.5Z")
	earlier, err2 := timeOrder("1969-12-31T23:59:59.25Z")
	if err != nil || err2 != nil || later.compare(earlier) <= 0 || later.compare(Order{Whole: time.Unix(0, 0).Unix()}) >= 0 {
		t.Errorf("times before 1970: %+v does not compare as after %+v and before 1970", later, earlier)
	}
}
