package coord

import "fmt"

// FieldError describes an invalid field of a command or of a member.
type FieldError struct {
	Field  string // its JSON key; empty if the error concerns the whole command or member
	Reason string
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// fieldErrorf returns a FieldError with a formatted reason.
func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// VersionError reports stored or sent data of a version that this program does not read.
type VersionError struct {
	Form      string // "entry", "snapshot" or "envelope"
	Version   int
	Supported int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: version %d; this program reads version %d", e.Form, e.Version, e.Supported)
}

// SnapshotError reports a damaged snapshot: one whose state can't result from any log.
type SnapshotError struct {
	Part   string // the part of the snapshot that is damaged
	Reason string
}

func (e *SnapshotError) Error() string { return "snapshot: " + e.Part + ": " + e.Reason }
