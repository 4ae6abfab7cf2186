package simadapter

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"frostlink/internal/settings"
	"frostlink/policy"
)

// fields decodes the values of one line by position, and keeps the first error. Decoding may continue after an error, but the values are
// then meaningless.
type fields struct {
	values []json.RawMessage
	err    error
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// decode decodes value i into v. If the value is absent or null, v is unchanged.
func (f *fields) decode(i int, v any) {
	if i >= len(f.values) {
		return
	}
	if err := json.Unmarshal(f.values[i], v); err != nil {
		f.fail(fmt.Errorf("value %d: %w", i, err))
	}
}

func (f *fields) text(i int) (v string)    { f.decode(i, &v); return v }
func (f *fields) number(i int) (v float64) { f.decode(i, &v); return v }
func (f *fields) truth(i int) (v bool)     { f.decode(i, &v); return v }

func (f *fields) seconds(i int) time.Duration { return settings.Seconds(f.number(i)) }

// whole decodes an integer, which may be written as 1e3 or 7.0. It does not decode all numbers as float64, because seeds need all 64 bits.
func (f *fields) whole(i int) int64 {
	var n json.Number
	f.decode(i, &n)
	if v, err := n.Int64(); err == nil || n == "" {
		return v
	}
	v, err := n.Float64()
	if err != nil || v != math.Trunc(v) {
		f.fail(fmt.Errorf("value %d: not an integer", i))
	}
	return int64(v)
}

func (f *fields) outcome(i int) policy.Outcome {
	name := f.text(i)
	outcome, ok := outcomes[name]
	if !ok {
		f.fail(fmt.Errorf("unknown outcome %q", name))
	}
	return outcome
}

// loadReport decodes a load report. It returns nil if either value is missing.
func (f *fields) loadReport(i int) *policy.LoadReport {
	var values map[string]float64
	f.decode(i, &values)
	remaining, hasRemaining := values["x0"]
	limit, hasLimit := values["x1"]
	if !hasRemaining || !hasLimit {
		return nil
	}
	return &policy.LoadReport{Remaining: remaining, RateLimit: limit}
}

// endpoints decodes the entries of a manifest.
func (f *fields) endpoints(i int) []policy.Endpoint {
	var entries [][]json.RawMessage
	f.decode(i, &entries)
	list := make([]policy.Endpoint, 0, len(entries))
	for _, values := range entries {
		entry := &fields{values: values}
		list = append(list, entry.endpoint())
		if entry.err != nil {
			f.fail(entry.err)
		}
	}
	return list
}

// endpoint decodes one entry of a manifest.
func (f *fields) endpoint() policy.Endpoint {
	state := f.text(4)
	return policy.Endpoint{
		Kind:        int(f.whole(0)),
		Destination: int(f.whole(1)),
		ID:          f.text(2),
		Weight:      f.number(3),
		Draining:    state == stateDraining,
		Removed:     state == stateRemoved,
		Zone:        int(f.whole(5)),
	}
}
