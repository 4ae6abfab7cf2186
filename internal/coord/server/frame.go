package server

import (
	"encoding/binary"
	"errors"

	"frostlink/internal/coord/replica"
)

// frameLengthSize is the size of a frame's length field, in bytes.
const frameLengthSize = 4

// errFrameTruncated reports a body that ends within a frame.
var errFrameTruncated = errors.New("envelopes: cut off")

// appendFrame appends an encoded envelope to a body as a frame.
func appendFrame(body, envelope []byte) []byte {
	return append(binary.BigEndian.AppendUint32(body, uint32(len(envelope))), envelope...)
}

// decodeFrames decodes the envelopes of a body.
func decodeFrames(body []byte) ([]replica.Envelope, error) {
	var envelopes []replica.Envelope
	for len(body) > 0 {
		if len(body) < frameLengthSize {
			return nil, errFrameTruncated
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[frameLengthSize:]
		if size > len(body) {
			return nil, errFrameTruncated
		}
		e, err := replica.DecodeEnvelope(body[:size])
		if err != nil {
			return nil, err
		}
		envelopes = append(envelopes, e)
		body = body[size:]
	}
	return envelopes, nil
}
