package replica

import (
	"encoding/binary"
	"errors"
	"fmt"

	"frostlink/internal/coord"
)

// EnvelopeVersion is the version of an envelope's encoding.
const EnvelopeVersion = 1

// Kind is the kind of an envelope.
type Kind byte

// The kinds. In the last two, Subject is an incarnation of the receiver.
const (
	KindRaft        Kind = iota + 1 // Body is a message of the Raft library
	KindAnnounce                    // the sender announces its incarnation; Body lists all its incarnations
	KindAcknowledge                 // the sender has Subject on disk as the receiver's incarnation
	KindStale                       // the receiver is stale: the sender has Subject on disk as the receiver's latest incarnation
)

// Envelope is a message between members.
//
// Its encoding, with all numbers big-endian:
//
//	version      1 byte
//	kind         1 byte
//	from         8 bytes, the sender's id
//	to           8 bytes, the receiver's id
//	incarnation  8 bytes number and 8 bytes nonce, of the sender
//	subject      8 bytes number and 8 bytes nonce
//	cluster      1 byte length, and length bytes
//	body         the rest
type Envelope struct {
	Cluster     string
	From        uint64
	To          uint64
	Incarnation Incarnation // incarnation of the sender
	Kind        Kind
	Subject     Incarnation
	Body        []byte
}

// The parts of an encoded envelope.
const (
	envelopeNumbers = 6                         // numbers of 8 bytes each, after version and kind
	envelopeMinSize = 2 + 8*envelopeNumbers + 1 // in bytes, without the cluster's name and the body
)

// errEnvelopeTruncated reports an envelope that ends before its last field.
var errEnvelopeTruncated = errors.New("envelope: cut off")

// Encode encodes an envelope.
func (e Envelope) Encode() []byte {
	raw := make([]byte, 0, envelopeMinSize+len(e.Cluster)+len(e.Body))
	raw = append(raw, EnvelopeVersion, byte(e.Kind))
	for _, n := range []uint64{
		e.From, e.To, e.Incarnation.Number, e.Incarnation.Nonce, e.Subject.Number, e.Subject.Nonce,
	} {
		raw = binary.BigEndian.AppendUint64(raw, n)
	}
	raw = append(raw, byte(len(e.Cluster)))
	raw = append(raw, e.Cluster...)
	return append(raw, e.Body...)
}

// DecodeEnvelope decodes an envelope.
func DecodeEnvelope(raw []byte) (Envelope, error) {
	var e Envelope
	if len(raw) == 0 {
		return e, errEnvelopeTruncated
	}
	if raw[0] != EnvelopeVersion {
		return e, &coord.VersionError{Form: "envelope", Version: int(raw[0]), Supported: EnvelopeVersion}
	}
	if len(raw) < envelopeMinSize {
		return e, errEnvelopeTruncated
	}
	e.Kind = Kind(raw[1])
	if e.Kind < KindRaft || e.Kind > KindStale {
		return e, fmt.Errorf("envelope: kind %d is unknown", raw[1])
	}
	rest := raw[2:]
	for _, n := range []*uint64{
		&e.From, &e.To, &e.Incarnation.Number, &e.Incarnation.Nonce, &e.Subject.Number, &e.Subject.Nonce,
	} {
		*n = binary.BigEndian.Uint64(rest)
		rest = rest[8:]
	}
	size := int(rest[0])
	if len(rest) < 1+size {
		return e, errEnvelopeTruncated
	}
	e.Cluster, e.Body = string(rest[1:1+size]), rest[1+size:]
	return e, nil
}
