package policy

import (
	"math"
	"testing"
)

// If a destination reports a lower rate limit, the send rate is reset to this relay's share of that
// limit. Noise around the listed rate changes nothing. A later report near the listed rate ends the
// lowered limit.
func TestLoadReport_SendRateFollowsReportedLimit(t *testing.T) {
	s := testSettings()
	s.Weights, s.Instances = WeightsNominal, 2
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 20})
	q := d.queues[0]
	for _, c := range []struct {
		limit, sendRate, even float64
	}{
		{18, 10, 10},
		{23, 10, 10},
		{0, 10, 10},
		{math.Inf(1), 10, 10},
		{math.NaN(), 10, 10},
		{-3, 10, 10}, // up to here: noise and unusable values
		{4, 2, 2},
		{4.4, 2, 2.06}, // 4 is a lowered limit; 4.4 only moves the average of the reported limits
		{20, 10, 10},   // restored
		{0.2, 0.2, 0.1},
		{1e9, 10, 10}, // the listed rate is the upper bound
	} {
		d.recordReportedLimit(q, c.limit)
		if math.Abs(q.sendRate-c.sendRate) > 1e-9 || math.Abs(d.evenShare(q)-c.even) > 1e-9 {
			t.Errorf("reported %v: send rate %v, even share %v, want %v and %v", c.limit, q.sendRate, d.evenShare(q), c.sendRate, c.even)
		}
	}
	d.recordReportedLimit(q, 4)
	for range 100 {
		q.queued = []*message{{}}
		d.recordSuccess(d.endpoints["a"], true)
	}
	if q.sendRate != 4 {
		t.Errorf("send rate %v after many successes, want the reported limit of 4", q.sendRate)
	}
	unlisted := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	if unlisted.recordReportedLimit(unlisted.queues[0], 4); unlisted.queues[0].sendRate != 0 {
		t.Errorf("send rate %v without a listed rate, want 0", unlisted.queues[0].sendRate)
	}
}
