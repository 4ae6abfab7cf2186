package coord

import "fmt"

// FieldError says what is wrong with one field of a command or of a member.
type FieldError struct {
	Field  string // by its key on the wire; empty: the whole is meant
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

// VersionError says that a stored form is of a version that this program does not read.
type VersionError struct {
	Form      string // "entry", "snapshot" or "envelope"
	Version   int
	Supported int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: version %d; this program reads version %d", e.Form, e.Version, e.Supported)
}

// SnapshotError says that a snapshot holds a state that no log leads to: it is damaged.
type SnapshotError struct {
	Part   string // of the snapshot
	Reason string
}

func (e *SnapshotError) Error() string { return "snapshot: " + e.Part + ": " + e.Reason }
