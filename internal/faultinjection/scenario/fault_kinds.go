package scenario

import "slices"

// FaultKind is the kind of a fault, as the scenario file, the timeline and the history of a run name it.
type FaultKind = string

// Faults of destinations.
const (
	FaultConnectionsRefused FaultKind = "refuse"         // endpoints refuse connections and reset open ones
	FaultOverloaded         FaultKind = "shut"           // endpoints reject everything
	FaultUnresponsive       FaultKind = "silent"         // endpoints accept connections and never respond
	FaultUnreachable        FaultKind = "gone"           // endpoints behave like a machine that has disappeared from the network
	FaultFailing            FaultKind = "failing"        // endpoints respond to a share of attempts with an error
	FaultSlowdown           FaultKind = "slow"           // service times are multiplied
	FaultResets             FaultKind = "reset"          // a share of connections is reset after the request body
	FaultPause              FaultKind = "pause"          // endpoints stop executing attempts
	FaultDrain              FaultKind = "drain"          // an endpoint drains and is removed
	FaultReplacement        FaultKind = "replace"        // a share of endpoints is replaced
	FaultExtraResponse      FaultKind = "extra_response" // a share of responses is followed by one that nobody asked for
	FaultEarlyEnd           FaultKind = "early_end"      // a share of the messages whose first attempt comes on a used connection is over: endpoints answer 410 or 504 at once, and reset the connection later
)

// Changes of the load.
const (
	FaultLoadSurge    FaultKind = "jump" // the arrival rate is multiplied
	FaultTrafficShift FaultKind = "draw" // one destination gets a share of all traffic in addition to its own
)

// Faults of relays' processes and machines.
const (
	FaultKill           FaultKind = "kill"           // SIGKILL, and a restart
	FaultTerminate      FaultKind = "term"           // SIGTERM, and a restart
	FaultMachineLost    FaultKind = "lose"           // SIGKILL, and a restart with an empty folder
	FaultSuspend        FaultKind = "hang"           // the process is suspended for a time
	FaultUpgrade        FaultKind = "upgrade"        // hand-over to a new process
	FaultStandby        FaultKind = "standby"        // the operator keeps the relay in standby for a time
	FaultSettingsChange FaultKind = "settings"       // a new settings file, or a corrupted one
	FaultAdminLoad      FaultKind = "scrape"         // the admin endpoint is polled while idle callers hold connections to it
	FaultClockStep      FaultKind = "clock_step"     // the wall clock is stepped; the monotonic clock is not affected
	FaultSyscallErrors  FaultKind = "syscall_errors" // a share of system calls on sockets fails
	FaultDiskErrors     FaultKind = "disk_errors"    // a share of system calls that write to the relay's folder fails
	FaultCrowd          FaultKind = "crowd"          // callers hold connections to the relay, idle or with an incomplete request
)

// Faults of discovery and of the network between relays.
const (
	FaultDiscoveryMove      FaultKind = "move"     // the discovery service moves to another address
	FaultDiscoveryDown      FaultKind = "register" // discovery is down
	FaultNetworkPartition   FaultKind = "split"
	FaultDatagramLoss       FaultKind = "loss"
	FaultDatagramTruncation FaultKind = "halve"
)

// faultKindSpec defines the keys that a kind of fault takes besides at_s and what, and whether the fault is an outage of endpoints.
type faultKindSpec struct {
	required, optional []string
	outage             bool
}

func (k faultKindSpec) takes(key string) bool {
	return slices.Contains(k.required, key) || slices.Contains(k.optional, key)
}

var faultKinds = map[FaultKind]faultKindSpec{
	FaultConnectionsRefused: {required: []string{"for_s", "partner"}, optional: []string{"endpoint", "warm"}, outage: true},
	FaultOverloaded:         {required: []string{"for_s", "partner"}, optional: []string{"endpoint", "warm"}, outage: true},
	FaultUnresponsive:       {required: []string{"for_s", "partner"}, optional: []string{"endpoint", "warm"}, outage: true},
	FaultUnreachable:        {required: []string{"for_s", "partner"}, optional: []string{"endpoint", "warm"}, outage: true},
	FaultFailing:            {required: []string{"for_s", "partner", "share"}, optional: []string{"endpoint", "warm"}, outage: true},
	FaultSlowdown:           {required: []string{"for_s", "partner", "factor"}, optional: []string{"endpoint"}},
	FaultResets:             {required: []string{"for_s", "partner", "share"}, optional: []string{"endpoint"}},
	FaultPause:              {required: []string{"for_s", "partner"}, optional: []string{"endpoint"}},
	FaultDrain:              {required: []string{"partner", "endpoint"}, optional: []string{"drain_s"}},
	FaultReplacement:        {required: []string{"share"}, optional: []string{"partner", "over_s", "drain_s", "reused"}},
	FaultExtraResponse:      {required: []string{"for_s", "share", "form", "delay_ms"}, optional: []string{"partner", "source", "busy", "way_ms"}},
	FaultEarlyEnd:           {required: []string{"for_s", "share", "delay_ms"}, optional: []string{"partner", "status"}},

	FaultLoadSurge:    {required: []string{"for_s", "factor"}, optional: []string{"rise_s"}},
	FaultTrafficShift: {required: []string{"for_s", "partner", "share"}},

	FaultKill:           {optional: []string{"relay", "back_s", "again_s", "behind"}},
	FaultTerminate:      {optional: []string{"relay", "back_s", "again_s", "signals"}},
	FaultMachineLost:    {required: []string{"relay"}, optional: []string{"back_s"}},
	FaultSuspend:        {required: []string{"relay", "for_s"}},
	FaultUpgrade:        {optional: []string{"relay", "again_s", "signals"}},
	FaultStandby:        {required: []string{"relay", "for_s"}},
	FaultSettingsChange: {optional: []string{"classes", "attempts", "broken"}},
	FaultAdminLoad:      {required: []string{"for_s"}, optional: []string{"relay", "callers"}},
	FaultClockStep:      {required: []string{"by_s"}, optional: []string{"relay"}},
	FaultSyscallErrors:  {required: []string{"for_s", "call", "errno", "share"}, optional: []string{"relay"}},
	FaultDiskErrors:     {required: []string{"for_s", "errno", "share"}, optional: []string{"relay"}},
	FaultCrowd:          {required: []string{"for_s", "callers"}, optional: []string{"relay", "hostile"}},

	FaultDiscoveryMove:      {optional: []string{"relay"}},
	FaultDiscoveryDown:      {required: []string{"for_s"}, optional: []string{"how"}},
	FaultNetworkPartition:   {required: []string{"for_s", "relays"}},
	FaultDatagramLoss:       {required: []string{"for_s", "share"}},
	FaultDatagramTruncation: {required: []string{"for_s", "share"}},
}
