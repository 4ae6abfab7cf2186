package handover

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Version is the version of the protocol. JSON members may be added without a new version.
const Version = 1

const (
	// maxFrameBody is the maximum size of a frame's body. It is far below the size of a Unix socket's
	// buffer.
	maxFrameBody = 64 << 10
	// maxFrameFiles is the maximum number of descriptors in a frame. It also bounds how many descriptors
	// the two processes together hold in addition to the descriptors of one process.
	maxFrameFiles = 16
)

const (
	// quiesceTimeout bounds the time until the relay is quiesced, and prepareTimeout the time in which the
	// successor reads the journal. They are short because clients wait 400 ms for an answer, and the
	// requests in flight come closer to their deadlines during a hand-over.
	quiesceTimeout, prepareTimeout = 300 * time.Millisecond, time.Second
	// helloTimeout bounds the time between accepting a link and receiving its hello.
	helloTimeout = time.Second
	// offerTimeout bounds the time in which the predecessor quiesces and sends its state.
	offerTimeout = 3 * time.Second
	// sendTimeout bounds the time until the socket's buffer has space for a frame. Without it a quiesced
	// predecessor, and all its clients, would wait for a successor that is suspended.
	sendTimeout = time.Second
	// ackTimeout bounds the wait for a batch or for its acknowledgement. After it, the connections that
	// were not passed count as lost.
	ackTimeout = 2 * time.Second
)

// frameKind is the first byte of a frame.
type frameKind byte

// The kinds of frame, see "Protocol" in the package's documentation.
const (
	frameHello        frameKind = 'h'
	frameState        frameKind = 's' // a part of the state
	frameOffer        frameKind = 'o' // end of the state
	frameReady        frameKind = 'r'
	frameLock         frameKind = 'y' // carries the lock's descriptor
	frameConns        frameKind = 'c' // a part of a batch's list of connections
	frameBatch        frameKind = 'b' // end of the list; carries the descriptors of the batch
	frameAcknowledged frameKind = 'a'
	frameDone         frameKind = 'd'
)

func (k frameKind) String() string { return fmt.Sprintf("%q", byte(k)) }

// frame is one packet of a link.
type frame struct {
	kind  frameKind
	body  []byte
	files []*os.File
}

// hello is the body of the first frame.
type hello struct {
	Version int `json:"version"`
}

// encode returns v as JSON. It panics if v can't be encoded; all values that are sent in frames can be.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
