// Package clock gives a relay one timeline that no step of the wall clock moves.
//
// # Why
//
// Deadlines, Retry-After and key lifetimes span processes. Within a process the time package measures
// spans by the monotonic clock, which is read along with the wall clock (package time, "Monotonic
// Clocks"). When a time is stored or sent to another process that reading is lost, and what is left is
// wall time, which an operator or NTP may step by hours.
//
// # Concepts
//
// An Instant is a point on a Timeline: nanoseconds since 1970, counted from one reading of the wall
// clock. That reading is the timeline's Anchor: the instant, and the time since the machine was booted
// (CLOCK_BOOTTIME), with the boot's id. The anchor is stored in the journal. Later processes of the same
// boot continue the timeline from it by CLOCK_BOOTTIME, and never read the wall clock.
//
// A StepDetector compares the timeline with the wall clock, so that a step shows in the log.
//
// # Guarantees
//
// Spans between instants of any processes of one boot are exact, suspends of the machine included.
//
// Across a reboot, or from a process that stored no anchor, they are not (Timeline.SameBoot is false): a
// new timeline begins at the wall clock's time, but not before the latest instant that is known. Spans
// across are never below zero. Where the wall clock was stepped back meanwhile, no time counts as
// passed, and deadlines pass late by at most the time without a process; where it was stepped forward,
// they pass early.
//
// An instant resembles the date at which it was taken, and is shown to people as one. After a step of
// the wall clock it differs from the true date by that step.
//
// # Rules for other packages
//
// This is the only package that may read the wall clock. Others hold spans, Instants, or a time.Time
// that was read in the same process and has its monotonic reading. lint_test.go checks that, and lists
// the exceptions.
//
// # Files
//
//   - instant.go: Instant and its stored forms
//   - timeline.go: Timeline, Anchor
//   - step_detector.go: steps of the wall clock
//   - boot.go: boot id and CLOCK_BOOTTIME
package clock
