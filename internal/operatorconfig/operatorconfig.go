// Package operatorconfig reads the operator's own file, deploy/frostlink.toml: one section a subsystem, each absent
// unless the operator wants it, and absent means off. What the platform tells a relay is not in it.
package operatorconfig

import (
	"frostlink/internal/deadletter"
	"frostlink/internal/fleettask"
	"frostlink/internal/strictconfig"
	"frostlink/internal/trace"
)

// Version is the form of the file that this program writes and reads.
const Version = 1

// File is the operator's file. Each subsystem adds its section as a pointer: nil is off.
type File struct {
	Version     int                 `toml:"version"`
	Undelivered *deadletter.Section `toml:"undelivered"`
	Trace       *trace.Section      `toml:"trace"`

	// Coordination names the service by which relays agree on who does the fleet's tasks.
	Coordination *fleettask.Section `toml:"coordination"`
}

// Off is the file in which every section is absent.
func Off() *File { return &File{Version: Version} }

// Read reads and checks a file. Its error is strict.Problems with all that is wrong in the file, or says why it
// can't be read.
func Read(path string) (*File, error) {
	f := Off()
	doc, err := strictconfig.ReadFile(path, f)
	if err != nil {
		return nil, err
	}
	if f.Version != Version {
		doc.AddError("version", "is %d; this program reads version %d", f.Version, Version)
	}
	if f.Undelivered != nil {
		f.Undelivered.Check(doc, "undelivered")
	}
	if f.Coordination != nil {
		f.Coordination.Check(doc, "coordination")
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return f, nil
}
