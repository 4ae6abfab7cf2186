package handover

import (
	"errors"
	"fmt"
)

var (
	// errFolderLocked is returned if another process holds the folder's lock.
	errFolderLocked = errors.New("handover: folder is locked by another process")
	// errVersionMismatch is returned if the other process uses another version of the protocol.
	errVersionMismatch = errors.New("handover: protocol version mismatch")
	// errNotTCP is returned if a received descriptor is not a TCP connection.
	errNotTCP = errors.New("handover: not a TCP connection")
	// errDescriptorCount is returned if a batch has more or fewer descriptors than connections.
	errDescriptorCount = errors.New("handover: numbers of descriptors and connections differ")
)

// unexpectedFrameError reports a frame that the protocol does not allow at this step.
type unexpectedFrameError struct{ got, want frameKind }

func (e *unexpectedFrameError) Error() string {
	return fmt.Sprintf("handover: got frame %v, want %v", e.got, e.want)
}
