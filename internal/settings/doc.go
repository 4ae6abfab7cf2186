// Package settings decodes the settings object that the platform gives a relay at its start, and the simulator an instance, checks it,
// and translates it into the terms of package policy.
//
// The struct types mirror the object: a field has its key's name, as an operator finds it in the platform's pages. The terms of the
// field begin behind Policy. Durations in the object are seconds.
//
// Files:
//
//	settings.go  the object's form
//	validate.go  Settings.Validate and its error, FieldError
//	policy.go    Settings.Policy, the translation
package settings
