// Package settings decodes the settings object that the platform gives a relay at its start, and the simulator an instance, checks it,
// and translates it into the terms of package policy.
//
// The struct types mirror the object key by key; the tags have the keys, as the platform's pages name them. Durations in the object are
// seconds. A relay and the simulator read the same object, and ignore keys that are not here.
//
// Files:
//
//	settings.go  the object's form
//	validate.go  Settings.Validate and its error, FieldError
//	policy.go    Settings.Policy, the translation
package settings
