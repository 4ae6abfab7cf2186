package checker

import (
	"fmt"
	"math"
	"testing"
	"time"

	"frostlink/internal/settings"
)

func TestReport_MeasuresDeliveredWeight(t *testing.T) {
	parameters := testParameters()
	parameters.Settings.Tenants = []settings.Tenant{{Name: "x"}, {Name: "y"}}
	parameters.Settings.OverQuotaFraction = 0.2
	var workload []Request
	l := &logBuilder{}
	for i := range 30 {
		at := time.Duration(i) * sec
		workload = append(workload, Request{At: at, Class: status, Tenant: i % 2, OverQuota: i == 29})
		id := fmt.Sprint(i)
		l.add(Event{At: at, Kind: Submitted, ID: id, Message: i, Duration: 10 * sec})
		switch {
		case i == 0: // delivered before the client got the response
			l.attempt(at+ms, id, "h", OK, ms)
			l.add(Event{At: at + 10*ms, Kind: Answered, ID: id, Status: 202})
		case i < 10: // delivered in time
			l.add(Event{At: at, Kind: Answered, ID: id, Status: 202})
			l.attempt(at+sec, id, "h", OK, ms)
		case i < 20: // after 6 s, half way between objective and deadline: 3/4 of the weight
			l.add(Event{At: at, Kind: Answered, ID: id, Status: 202})
			l.attempt(at+6*sec-ms, id, "h", OK, ms)
		default:
			l.add(Event{At: at, Kind: Answered, ID: id, Status: 429})
		}
	}
	report := Judge(parameters, l.log, runLength)
	report.MeasureWeight(parameters, workload, l.log)
	wantNear := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s is %v, want %v", what, got, want)
		}
	}
	wantNear("total", report.DeliveredWeight.Total, (10+7.5)/29.2)
	wantNear("worst window", report.DeliveredWeight.WorstWindow, 0)
	wantNear("its start", report.DeliveredWeight.WorstWindowStart.Seconds(), 20)
	wantNear("worst tenant", report.DeliveredWeight.WorstTenant, (5+3.75)/15)
	if report.Counts.Delivered != 20 || report.Counts.InTime != 10 || report.Counts.Rejected != 10 || report.Counts.Accepted != 20 {
		t.Errorf("unexpected counts: %+v", report.Counts)
	}
}
