// Package operatorconfig reads the operator's own file, deploy/frostlink.toml. Each subsystem that an operator may turn on has a
// section in it; an absent section means off. The platform's configuration of a relay is not in this file; see package settings.
package operatorconfig

import (
	"frostlink/internal/deadletter"
	"frostlink/internal/fleettask"
	"frostlink/internal/strictconfig"
	"frostlink/internal/trace"
)

// Version is the version of the file's form that this program reads.
const Version = 1

// File is the operator's file. A section is a pointer, and nil is off.
type File struct {
	Version    int                 `toml:"version"`
	DeadLetter *deadletter.Section `toml:"undelivered"` // the dead-letter store
	Trace      *trace.Section      `toml:"trace"`

	// Coordination names the service by which relays agree on who does the fleet's tasks.
	Coordination *fleettask.Section `toml:"coordination"`
}

// Off returns the file in which every section is absent.
func Off() *File { return &File{Version: Version} }

// Read reads and checks a file. Its error is strictconfig.FieldErrors with all that is wrong in the file, or says why it can't be read.
func Read(path string) (*File, error) {
	f := Off()
	doc, err := strictconfig.ReadFile(path, f)
	if err != nil {
		return nil, err
	}
	f.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// check adds to the document what is wrong with the values, each section's by the section's own Check.
func (f *File) check(doc *strictconfig.Document) {
	if f.Version != Version {
		doc.AddError("version", "is %d; this program reads version %d", f.Version, Version)
	}
	if f.DeadLetter != nil {
		f.DeadLetter.Check(doc, "undelivered")
	}
	if f.Coordination != nil {
		f.Coordination.Check(doc, "coordination")
	}
}
