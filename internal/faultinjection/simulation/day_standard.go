package simulation

import (
	"fmt"
	"strings"

	"frostlink/internal/faultinjection/scenario"
)

// The standard days. The length and the faults of a day are the same for any number of relays.
const (
	CalmDay = "calm" // no fault
	JoinDay = "join" // the destination with a third of the traffic admits a quarter of its limit for 9 s
	ZoneDay = "zone" // destinations with half of the traffic are down for 5 s, and recover in slow start
	HerdDay = "herd" // relays are killed while endpoints are replaced
	RushDay = "rush" // clients send 1.5 times the usual traffic, more than the destinations' limits allow
)

// DayNames are the standard days.
var DayNames = []string{CalmDay, JoinDay, ZoneDay, HerdDay, RushDay}

// rushShare is the traffic of RushDay as a multiple of that of the other days.
const rushShare = 1.5

// standardWorkload is the workload of the standard days.
var standardWorkload = workload{
	ratePerRelay: 7.5, sentShare: 1, limitFactor: 1.15, capacityRatio: 1.35, length: 30,
	shares: []float64{0.34, 0.26, 0.16, 0.12, 0.07, 0.05},
}

// NewDay returns a standard day for a number of relays. The times of its faults do not depend on the seed.
func NewDay(name string, relays int, seed int64) (*Day, error) {
	w := standardWorkload
	if name == RushDay {
		w.sentShare = rushShare
	}
	day, numbersByShare, err := w.newDay(relays, seed)
	if err != nil {
		return nil, err
	}
	// each adds a fault at a time for all destinations of one of the workload's shares.
	each := func(share int, seconds float64, fault Fault) {
		for _, number := range numbersByShare[share] {
			fault.At, fault.Destination = scenario.Seconds(seconds), number
			day.Faults = append(day.Faults, fault)
		}
	}
	switch name {
	case CalmDay, RushDay:
	case JoinDay:
		each(0, 8, Fault{Kind: FaultLimitLowered, Share: 0.25})
		each(0, 17, Fault{Kind: FaultLimitLowered, Share: 1})
	case ZoneDay:
		for _, share := range []int{0, 2} {
			each(share, 8, Fault{Kind: FaultOutage})
			each(share, 13, Fault{Kind: FaultRecovery})
		}
	case HerdDay:
		for share := range w.shares {
			each(share, 7+float64(share), Fault{Kind: FaultReplacement})
		}
		day.Faults = append(day.Faults, Fault{At: scenario.Seconds(10), Kind: FaultKill, Share: 0.7})
	default:
		return nil, fmt.Errorf("unknown day %q: known days are %s", name, strings.Join(DayNames, ", "))
	}
	return day, nil
}
