package scenario

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// Range is a fixed number, or the bounds between which a number is drawn. In a file it is a number or a list of two numbers.
type Range struct{ Low, High float64 }

// FromTOML implements strictconfig.Unmarshaler.
func (r *Range) FromTOML(value any) error {
	if number, ok := finiteNumber(value); ok {
		*r = Range{number, number}
	} else if list, _ := value.([]any); len(list) == 2 {
		low, okLow := finiteNumber(list[0])
		high, okHigh := finiteNumber(list[1])
		if !okLow || !okHigh || low > high {
			return fmt.Errorf("%v is not a range of two finite numbers, the lower one first", value)
		}
		*r = Range{low, high}
	} else {
		return errors.New("must be a finite number or a list of two numbers")
	}
	if r.Low < 0 {
		return errors.New("must not be below 0")
	}
	return nil
}

func finiteNumber(value any) (number float64, ok bool) {
	switch n := value.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	default:
		return 0, false
	}
}

// Mean returns the middle of the range.
func (r Range) Mean() float64 { return (r.Low + r.High) / 2 }

// Draw draws a number from the range, uniformly.
func (r Range) Draw(random *rand.Rand) float64 { return r.Low + (r.High-r.Low)*random.Float64() }
