package scenario

import (
	"math/rand/v2"
	"net/http"
)

// writeDestinationFaults draws the faults of a destination.
func (w *soakWriter) writeDestinationFaults(name string) {
	destination := setting{"partner", name}
	if w.chance(0.5) {
		kind := choose(w, FaultConnectionsRefused, FaultOverloaded, FaultUnresponsive, FaultUnreachable, FaultFailing)
		settings := []setting{destination, {"for_s", w.uniform(0.5, 4)}}
		if kind == FaultFailing {
			settings = append(settings, setting{"share", 0.9})
		}
		w.writeFault(kind, settings...)
	}
	if w.chance(0.3) {
		w.writeFault(FaultResets, destination, setting{"for_s", w.uniform(0.5, 4)}, setting{"share", w.uniform(0.1, 0.6)})
	}
	if w.chance(0.3) {
		w.writeFault(FaultSlowdown, destination, setting{"for_s", w.uniform(0.5, 3)}, setting{"factor", w.uniform(3, 12)})
	}
	if w.chance(0.2) {
		w.writeFault(FaultPause, destination, setting{"for_s", w.uniform(0.2, 1)})
	}
}

// writeClockSteps draws steps of a relay's wall clock.
func (w *soakWriter) writeClockSteps(relay setting) {
	for w.chance(0.4) {
		w.writeFault(FaultClockStep, relay, setting{"by_s", choose(w, 0.5, -0.5, 5, -5, 60, -60, 3600, -3600)})
	}
}

// writeProcessFault draws the fault of a relay's process: the process is killed, terminated or suspended, or has no fault.
func (w *soakWriter) writeProcessFault(relay setting) {
	switch {
	case w.chance(0.35):
		w.writeFault(FaultKill, relay, setting{"back_s", w.uniform(0.3, 1)})
	case w.chance(0.15):
		w.writeFault(FaultTerminate, relay)
	case w.chance(0.15):
		w.writeFault(FaultSuspend, relay, setting{"for_s", w.uniform(0.2, 1.5)})
	}
}

// writeMachineFaults draws failing writes to a relay's folder, and failing system calls on its sockets.
func (w *soakWriter) writeMachineFaults(relay setting) {
	if w.chance(0.3) {
		w.writeFault(FaultDiskErrors, relay, setting{"for_s", w.uniform(0.5, 3)},
			setting{"errno", choose(w, "ENOSPC", "EIO", "EROFS", "EDQUOT")}, setting{"share", choose(w, 0.2, 0.5, 1.0)})
	}
	if w.chance(0.15) {
		w.writeFault(FaultDiskErrors, relay, setting{"for_s", w.uniform(0.5, 3)}, setting{"errno", shortTransferName}, setting{"share", 0.5})
	}
	for w.chance(0.35) {
		w.writeSyscallFault(relay)
	}
}

// soakErrnos are the errors for system calls that transfer no data, and so cannot transfer only a part of it.
var soakErrnos = map[string][]string{
	"accept":  {"ENOBUFS", "ENFILE", "ECONNABORTED", "EPROTO", "ENETDOWN"},
	"connect": {"ENETUNREACH", "EADDRNOTAVAIL", "ENOBUFS", "ECONNREFUSED", "EHOSTUNREACH"},
	"socket":  {"ENFILE", "ENOBUFS", "ENOMEM"},
	"wait":    {"EINTR"},
}

// writeSyscallFault draws a failing system call on sockets.
func (w *soakWriter) writeSyscallFault(relay setting) {
	call := choose(w, "accept", "connect", "socket", "wait", "read", "write")
	errno, share := shortTransferName, w.uniform(0.1, 0.5)
	if errnos, ok := soakErrnos[call]; ok {
		errno = choose(w, errnos...)
	} else if w.chance(0.4) { // a broken connection, which the peer loses as well
		errno, share = choose(w, "ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"), 0.02
	}
	w.writeFault(FaultSyscallErrors, relay, setting{"for_s", w.uniform(0.5, 3)},
		setting{"call", call}, setting{"errno", errno}, setting{"share", share})
}

// writeNetworkFaults draws an outage of discovery, and losses of datagrams between relays.
func (w *soakWriter) writeNetworkFaults() {
	if w.chance(0.4) {
		w.writeFault(FaultDiscoveryDown, setting{"for_s", w.uniform(0.5, 3)},
			setting{"how", choose(w, DiscoveryUnavailable, DiscoveryResets, DiscoveryUnresponsive)})
	}
	if w.chance(0.4) {
		w.writeFault(FaultDatagramLoss, setting{"for_s", w.uniform(1, 4)}, setting{"share", 0.5})
	}
}

// writeEarlyEnds draws messages that are over at an endpoint, which says so at once, and resets the connection while the relay may still
// await a confirmation. Its draws have a stream of their own, so that the other faults of a seed stay the same.
func (w *soakWriter) writeEarlyEnds(seed int64) {
	ends := &soakWriter{random: rand.New(rand.NewPCG(uint64(seed), earlyEndSoakStream)), length: w.length}
	ends.writeFaultAt(soakFirstFault, FaultEarlyEnd, setting{"for_s", w.length - soakFirstFault}, setting{"share", ends.uniform(0.2, 0.5)},
		setting{"delay_ms", milliseconds{60, 900}}, setting{"status", choose(ends, http.StatusGone, http.StatusGone, http.StatusGatewayTimeout)})
	w.text.WriteString(ends.text.String())
}

// writeExtraResponses draws responses that nobody asked for, by destinations and by the platform, and copies of discovery's lists. Their
// draws have a stream of their own, so that the other faults of a seed stay the same.
func (w *soakWriter) writeExtraResponses(seed int64) {
	extra := &soakWriter{random: rand.New(rand.NewPCG(uint64(seed), extraSoakStream)), length: w.length}
	lasting := setting{"for_s", w.length - soakFirstFault}
	form := choose(extra, ExtraCopy, ExtraCopy, ExtraCopy, ExtraHalf, ExtraRefusal, ExtraTimeout, ExtraInterim, ExtraNoise)
	late := choose(extra, milliseconds{2, 40}, milliseconds{10, 60}, milliseconds{0, 250})
	extra.writeFaultAt(soakFirstFault, FaultExtraResponse, lasting, setting{"share", 0.1}, setting{"form", form},
		setting{"delay_ms", late}, setting{"busy", true}, setting{"way_ms", milliseconds{0, 20}})
	if extra.chance(0.5) {
		extra.writeFaultAt(soakFirstFault, FaultExtraResponse, lasting, setting{"share", 0.3}, setting{"form", ExtraCopy},
			setting{"delay_ms", milliseconds{0, 60}}, setting{"source", SourcePlatform})
	}
	if extra.chance(0.3) {
		extra.writeFaultAt(soakFirstFault, FaultExtraResponse, lasting, setting{"share", 0.3}, setting{"form", ExtraCopy},
			setting{"delay_ms", milliseconds{0, 3000}}, setting{"source", SourceDiscovery})
	}
	if extra.chance(0.3) {
		extra.writeFaultAt(soakFirstFault, FaultExtraResponse, lasting, setting{"share", 0.05}, setting{"form", ExtraEarly},
			setting{"delay_ms", milliseconds{0, 0}})
	}
	w.text.WriteString(extra.text.String())
}
