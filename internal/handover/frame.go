package handover

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Version is the version of the protocol. JSON members may be added without a new one.
const Version = 1

const (
	// maxFrameBody is the size of a frame's body at most, far less than a Unix socket's buffer.
	maxFrameBody = 64 << 10
	// maxFrameFiles is how many descriptors go with a frame at most, and how many more the two processes
	// hold together than one relay does.
	maxFrameFiles = 16
)

const (
	// quiesceTimeout bounds how long the relay may take to come to a stop, and prepareTimeout the
	// successor's reading of the journal: clients wait 400 ms for an answer, and all requests in flight
	// grow older meanwhile.
	quiesceTimeout, prepareTimeout = 300 * time.Millisecond, time.Second
	// helloTimeout is how long a link may take to send its hello.
	helloTimeout = time.Second
	// offerTimeout is how long the predecessor may take to quiesce and to send its state.
	offerTimeout = 3 * time.Second
	// sendTimeout is how long the peer may take to make room for a frame. Without it a predecessor that
	// has come to a stop would wait with all its clients for a successor that is suspended.
	sendTimeout = time.Second
	// ackTimeout is how long a batch may take to come or to be acknowledged before the rest counts as
	// lost.
	ackTimeout = 2 * time.Second
)

// frameKind is the first byte of a frame.
type frameKind byte

// The kinds of frame, see "Protocol" in the package's documentation.
const (
	frameHello        frameKind = 'h'
	frameState        frameKind = 's' // a part of the state
	frameOffer        frameKind = 'o' // the state is complete
	frameReady        frameKind = 'r'
	frameLock         frameKind = 'y' // with the lock's descriptor
	frameConns        frameKind = 'c' // a part of a batch's list of connections
	frameBatch        frameKind = 'b' // the list is complete, with the descriptors
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

// encode returns v as JSON. It panics on values that can't be encoded, of which none is sent.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
