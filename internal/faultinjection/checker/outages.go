package checker

import "time"

// Kinds of outages, as Event.State names them, that a relay can observe without a trace in the log: the kernel refuses the
// connections, or they are never established.
const (
	outageUnreachable = "gone"
	outageRefused     = "refuse"
	outageOverloaded  = "fell" // the destination was overloaded
)

// outage is an outage of all endpoints of a destination.
type outage struct {
	destination int
	kind        string
	from, to    time.Duration
	cold        bool // the destination came back cold
}

// readOutages returns the outages of whole destinations. Outages of single endpoints are left out.
func readOutages(log []Event) []outage {
	var all []outage
	open := map[int]int{} // index in all, by destination
	for _, e := range log {
		switch {
		case e.Endpoint != "":
		case e.Kind == OutageBegan:
			if i, ok := open[e.Destination]; ok {
				all[i].to = e.At
			}
			open[e.Destination] = len(all)
			all = append(all, outage{destination: e.Destination, kind: e.State, from: e.At, to: never})
		case e.Kind == OutageEnded:
			if i, ok := open[e.Destination]; ok {
				all[i].to, all[i].cold = e.At, e.OK
				delete(open, e.Destination)
			}
		}
	}
	return all
}
