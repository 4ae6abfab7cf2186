package scenario

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
)

// maxClockStep is the longest step of a wall clock, in seconds.
const maxClockStep = 86400

// faultValidator checks one fault.
type faultValidator struct {
	validator
	scenario *Scenario
	fault    *Fault
	prefix   string // prefix of the fault's keys
}

// faultKey is a key of a fault and the check of its value. The check runs for faults of all kinds: if the kind does not take the key,
// that has already been reported, and only the first error of a key is kept.
type faultKey struct {
	name  string
	check func(f faultValidator, key string)
}

// faultKeys are all keys of faults besides at_s and what.
var faultKeys = []faultKey{
	{"for_s", func(f faultValidator, key string) { f.aboveZeroIfGiven(key, f.fault.Duration) }},
	{"share", func(f faultValidator, key string) {
		f.fraction(key, f.fault.Share)
		f.aboveZeroIfGiven(key, f.fault.Share)
	}},
	{"factor", func(f faultValidator, key string) { f.aboveZeroIfGiven(key, f.fault.Factor) }},
	{"reused", func(f faultValidator, key string) { f.fraction(key, f.fault.ReusedAddresses) }},
	{"over_s", func(f faultValidator, key string) { f.atLeast(key, f.fault.ReplacementTime, 0) }},
	{"drain_s", func(f faultValidator, key string) { f.atLeast(key, f.fault.DrainTime, 0) }},
	{"back_s", func(f faultValidator, key string) { f.atLeast(key, f.fault.RestartDelay, 0) }},
	{"rise_s", func(f faultValidator, key string) { f.atLeast(key, f.fault.RampTime, 0) }},
	{"classes", func(f faultValidator, key string) { f.scenario.validateClassNames(f.validator, key, f.fault.Classes) }},
	{"attempts", faultValidator.checkMaxAttempts},
	{"broken", func(f faultValidator, key string) {
		f.oneOfIfGiven(key, f.fault.Corruption, CorruptionEmpty, CorruptionTruncated, CorruptionMissingKey, CorruptionZeroValue)
	}},
	{"callers", func(f faultValidator, key string) { f.atLeast(key, float64(f.fault.IdleCallers), 0) }},
	{"call", func(f faultValidator, key string) {
		f.oneOfIfGiven(key, f.fault.Syscall, slices.Sorted(maps.Keys(SocketSyscalls))...)
	}},
	{"errno", faultValidator.checkErrno},
	{"by_s", faultValidator.checkClockStep},
	{"how", func(f faultValidator, key string) {
		f.oneOfIfGiven(key, f.fault.Mode, DiscoveryUnavailable, DiscoveryResets, DiscoveryUnresponsive)
	}},
	{"partner", faultValidator.checkDestination},
	{"endpoint", faultValidator.checkEndpoint},
	{"relay", faultValidator.checkRelay},
	{"signals", faultValidator.checkSignals},
	{"again_s", func(f faultValidator, key string) { f.aboveZeroIfGiven(key, f.fault.RestartAgain) }},
	{"form", func(f faultValidator, key string) {
		f.oneOfIfGiven(key, f.fault.ExtraForm, ExtraCopy, ExtraHalf, ExtraRefusal, ExtraTimeout, ExtraInterim, ExtraNoise, ExtraEarly)
	}},
	{"source", faultValidator.checkExtraSource},
	{"status", func(f faultValidator, key string) {
		if f.Has(key) && f.fault.Status != http.StatusGone && f.fault.Status != http.StatusGatewayTimeout {
			f.AddError(key, "%d is neither %d nor %d", f.fault.Status, http.StatusGone, http.StatusGatewayTimeout)
		}
	}},
	{"delay_ms", nil}, // checked by Range
	{"way_ms", nil},   // checked by Range
	{"busy", nil},     // true or false
	{"relays", nil},   // checked by checkRelay
	{"warm", nil},     // true or false
	{"behind", nil},   // true or false
	{"hostile", nil},  // true or false
}

func (s *Scenario) validateFaults(v validator) {
	for i := range s.Faults {
		f := faultValidator{v, s, &s.Faults[i], elementPrefix("event", i)}
		kind, ok := faultKinds[f.fault.Kind]
		if !ok {
			v.AddError(f.prefix+"what", "%q is not one of %s", f.fault.Kind, strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))
			continue
		}
		f.checkKeysOfKind(kind)
		f.checkStart()
		f.checkChangesSettings()
		for _, key := range faultKeys {
			if key.check != nil {
				key.check(f, f.prefix+key.name)
			}
		}
	}
}

// checkKeysOfKind reports missing keys that a fault's kind requires, and keys that the kind does not take.
func (f faultValidator) checkKeysOfKind(kind faultKindSpec) {
	for _, name := range kind.required {
		if !f.Has(f.prefix + name) {
			f.AddError(f.prefix+name, "is missing, but required for %q", f.fault.Kind)
		}
	}
	for _, key := range faultKeys {
		if f.Has(f.prefix+key.name) && !kind.takes(key.name) {
			f.AddError(f.prefix+key.name, "not allowed for %q", f.fault.Kind)
		}
	}
}

func (f faultValidator) checkStart() {
	key := f.prefix + "at_s"
	f.atLeast(key, f.fault.At, 0)
	if f.fault.At >= f.scenario.Length {
		f.AddError(key, "%v is not before the end of the run, length_s = %v", f.fault.At, f.scenario.Length)
	}
}

func (f faultValidator) checkChangesSettings() {
	if f.fault.Kind == FaultSettingsChange && f.fault.Classes == nil && f.fault.MaxAttempts == 0 && f.fault.Corruption == "" {
		f.AddError(f.prefix+"what", "a settings event must have at least one of classes, attempts and broken")
	}
}

func (f faultValidator) checkMaxAttempts(key string) {
	if limit := f.scenario.Limits.MaxAttempts; f.Has(key) && (f.fault.MaxAttempts < 1 || f.fault.MaxAttempts > limit) {
		f.AddError(key, "%d is not between 1 and limits.attempts, %d", f.fault.MaxAttempts, limit)
	}
}

func (f faultValidator) checkErrno(key string) {
	if f.Has(key) && Errno(f.fault.Errno) == 0 {
		f.AddError(key, "%q is not the name of a system call error", f.fault.Errno)
	}
}

func (f faultValidator) checkClockStep(key string) {
	if step := f.fault.ClockStep; f.Has(key) && (step == 0 || math.Abs(step) > maxClockStep) {
		f.AddError(key, "%v is not a step of at most %d s forwards or backwards", step, maxClockStep)
	}
}

// checkExtraSource checks who writes responses that nobody asked for. The platform and discovery write copies only, and have neither
// partners nor requests in hand.
func (f faultValidator) checkExtraSource(key string) {
	f.oneOfIfGiven(key, f.fault.ExtraSource, SourceDestinations, SourcePlatform, SourceDiscovery)
	if f.fault.ExtraSource == "" || f.fault.ExtraSource == SourceDestinations {
		return
	}
	if f.fault.ExtraForm != ExtraCopy {
		f.AddError(f.prefix+"form", "%q is not possible for the source %q, which writes copies only", f.fault.ExtraForm, f.fault.ExtraSource)
	}
	for _, name := range []string{"partner", "busy", "way_ms"} {
		if f.Has(f.prefix + name) {
			f.AddError(f.prefix+name, "not allowed for the source %q", f.fault.ExtraSource)
		}
	}
}

// checkSignals checks the series of signals. A hand-over has its own series; a shutdown has the others.
func (f faultValidator) checkSignals(key string) {
	if f.fault.Kind == FaultUpgrade {
		f.oneOfIfGiven(key, f.fault.Signals, SignalsHandover)
		return
	}
	f.oneOfIfGiven(key, f.fault.Signals, SignalsReload, SignalsRepeated, SignalsStarting, SignalsStuck)
}

func (f faultValidator) checkDestination(key string) {
	if f.Has(key) && f.scenario.DestinationIndex(f.fault.Destination) < 0 {
		f.AddError(key, "%q is not a partner of this scenario", f.fault.Destination)
	}
}

func (f faultValidator) checkEndpoint(key string) {
	index := f.scenario.DestinationIndex(f.fault.Destination)
	if !f.Has(f.prefix+"partner") || index < 0 {
		return // the missing or unknown partner has been reported already
	}
	if endpoints := f.scenario.Destinations[index].Endpoints; f.fault.Endpoint < 0 || f.fault.Endpoint > endpoints {
		f.AddError(key, "out of range: %s has endpoints 1 to %d", f.fault.Destination, endpoints)
	}
}

// checkRelay checks the keys relay and relays.
func (f faultValidator) checkRelay(key string) {
	relay, relays := f.fault.Relay, f.scenario.Relays
	isUnknown := func(one int) bool { return one < 1 || one > relays }
	if relay < 0 || relay > relays || slices.ContainsFunc(f.fault.Relays, isUnknown) {
		f.AddError(key, "out of range: there are relays 1 to %d", relays)
	}
	if f.Has(key) && relay == 0 {
		f.AddError(key, "out of range: there are relays 1 to %d; omit the key to select all of them", relays)
	}
}

func (f faultValidator) aboveZeroIfGiven(key string, value float64) {
	if f.Has(key) {
		f.above(key, value, 0)
	}
}

func (f faultValidator) oneOfIfGiven(key, value string, allowed ...string) {
	if f.Has(key) {
		oneOf(f.validator, key, value, allowed...)
	}
}
