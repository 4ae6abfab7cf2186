package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// EnvelopeVersion is the form of what members send one another.
const EnvelopeVersion = 1

// Kind says what an envelope is for.
type Kind byte

// The kinds.
const (
	Raft     Kind = iota + 1 // a message of the consensus
	Hello                    // this is my life now
	Welcome                  // I have on disk that your life is Of
	Outdated                 // I know of a later life of yours: Of
)

// Envelope is one message between members.
type Envelope struct {
	Cluster string
	From    uint64
	To      uint64
	Life    Life // the sender's
	Kind    Kind
	Of      Life
	Body    []byte // Raft: its message; Hello: the member's lives so far
}

// Encode gives an envelope's bytes: version and kind, a byte each; six numbers of eight bytes, big-endian; the
// cluster's id behind its length in a byte; the rest is the body.
func (e Envelope) Encode() []byte {
	raw := make([]byte, 0, 2+6*8+1+len(e.Cluster)+len(e.Body))
	raw = append(raw, EnvelopeVersion, byte(e.Kind))
	for _, n := range []uint64{e.From, e.To, e.Life.Number, e.Life.Nonce, e.Of.Number, e.Of.Nonce} {
		raw = binary.BigEndian.AppendUint64(raw, n)
	}
	raw = append(raw, byte(len(e.Cluster)))
	raw = append(raw, e.Cluster...)
	return append(raw, e.Body...)
}

var errShort = errors.New("envelope: cut off")

// DecodeEnvelope reads an envelope.
func DecodeEnvelope(raw []byte) (Envelope, error) {
	var e Envelope
	if len(raw) == 0 {
		return e, errShort
	}
	if raw[0] != EnvelopeVersion {
		return e, fmt.Errorf("envelope: version %d; this program reads version %d", raw[0], EnvelopeVersion)
	}
	if len(raw) < 2+6*8+1 {
		return e, errShort
	}
	e.Kind = Kind(raw[1])
	if e.Kind < Raft || e.Kind > Outdated {
		return e, fmt.Errorf("envelope: kind %d is unknown", raw[1])
	}
	rest := raw[2:]
	for _, n := range []*uint64{&e.From, &e.To, &e.Life.Number, &e.Life.Nonce, &e.Of.Number, &e.Of.Nonce} {
		*n = binary.BigEndian.Uint64(rest)
		rest = rest[8:]
	}
	size := int(rest[0])
	if len(rest) < 1+size {
		return e, errShort
	}
	e.Cluster, e.Body = string(rest[1:1+size]), rest[1+size:]
	return e, nil
}
