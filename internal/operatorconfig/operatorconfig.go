// Package operatorconfig reads the operator's file, such as deploy/frostlink.toml. The file has a section for each subsystem that an
// operator may turn on; a subsystem whose section is absent is off. The configuration that the platform gives a relay is a separate
// file; see package settings.
package operatorconfig

import (
	"frostlink/internal/deadletter"
	"frostlink/internal/fleettask"
	"frostlink/internal/strictconfig"
	"frostlink/internal/trace"
)

// Version is the version of the file format that this program reads.
const Version = 1

// File is the operator's file. A subsystem whose section is nil is off.
type File struct {
	Version    int                 `toml:"version"`
	DeadLetter *deadletter.Section `toml:"undelivered"` // the dead-letter store
	Trace      *trace.Section      `toml:"trace"`

	// Coordination names the coordination service, through which relays agree on which of them runs each fleet task.
	Coordination *fleettask.Section `toml:"coordination"`
}

// Off returns a file in which every section is absent.
func Off() *File { return &File{Version: Version} }

// Read reads and checks a file. Its error is a strictconfig.FieldErrors with all errors in the file, or says why the file can't be read.
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

// check adds an error to the document for each invalid value. Each section checks its own values.
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
