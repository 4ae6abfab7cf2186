// Package clock provides a relay with one timeline that is independent of steps of the wall clock.
//
// # Why
//
// Deadlines, Retry-After times and key TTLs apply across several processes of a relay. Within one process
// the time package measures spans by the monotonic clock, which is read together with the wall clock
// (package time, "Monotonic Clocks"). When a time is stored or sent to another process, the monotonic
// reading is lost; only the wall-clock time remains, which an operator or NTP may step by hours.
//
// # Concepts
//
// An Instant is a point on a Timeline: nanoseconds since 1970, based on one reading of the wall clock. The
// timeline's Anchor records this reading as an instant, together with the time since the machine was
// booted (CLOCK_BOOTTIME) and the boot's id. The anchor is stored in the journal. Later processes of the
// same boot continue the timeline from the anchor by CLOCK_BOOTTIME, and do not use the wall clock for it.
//
// A StepDetector compares the timeline with the wall clock, and logs steps of the wall clock.
//
// # Guarantees
//
// Spans between the instants of any processes of one boot are exact, and include the time in which the
// machine was suspended.
//
// Spans across a reboot, or from a process that stored no anchor, are not exact (Timeline.SameBoot is
// false): a new timeline begins at the time of the wall clock, but not before the latest known instant.
// Such spans are never negative. If the wall clock was stepped back in the meantime, the span counts as
// zero, and deadlines pass late by at most the time in which no process ran; if it was stepped forward,
// deadlines pass early.
//
// An instant is close to the date at which it was taken, and is shown to people as a date. After a step
// of the wall clock it differs from the true date by that step.
//
// # Rules for other packages
//
// Only this package may read the wall clock. Other packages use spans, Instants, or time.Time values that
// were read in the same process and have a monotonic reading. lint_test.go checks this rule, and lists the
// exceptions.
//
// # Files
//
//   - instant.go: Instant and its stored encodings
//   - timeline.go: Timeline, Anchor
//   - step_detector.go: detection of steps of the wall clock
//   - boot.go: boot id and CLOCK_BOOTTIME
package clock
