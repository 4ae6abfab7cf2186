package handover

import (
	"errors"
	"fmt"
)

var (
	// errFolderLocked says that another process holds the folder's lock.
	errFolderLocked = errors.New("handover: another process holds the folder")
	// errVersionMismatch says that the other process speaks another version of the protocol.
	errVersionMismatch = errors.New("handover: version mismatch")
	// errNotTCP says that a received descriptor is no TCP connection.
	errNotTCP = errors.New("handover: not a TCP connection")
	// errDescriptorCount says that a batch came with more or fewer descriptors than connections.
	errDescriptorCount = errors.New("handover: descriptors don't match connections")
)

// unexpectedFrameError reports a frame that the protocol does not allow at this step.
type unexpectedFrameError struct{ got, want frameKind }

func (e *unexpectedFrameError) Error() string {
	return fmt.Sprintf("handover: got frame %v, want %v", e.got, e.want)
}
