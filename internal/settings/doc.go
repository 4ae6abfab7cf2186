// Package settings decodes and validates the settings object that the platform passes to a relay when it starts, and that the simulator
// passes to each simulated instance, and translates the object into policy.Settings.
//
// The struct types mirror the object key by key; the tags hold the keys as the platform's documentation names them. Durations in the
// object are in seconds. Relays and the simulator's adapter read the same object; both ignore keys that the struct types do not have.
//
// Files:
//
//	settings.go  the struct types of the object
//	validate.go  Settings.Validate and its error, FieldError
//	policy.go    Settings.Policy, the translation into policy.Settings
package settings
