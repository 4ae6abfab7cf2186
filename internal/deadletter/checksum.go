package deadletter

import (
	"encoding/binary"

	"frostlink/internal/boltfile"
)

// checksumSize is the size of the checksum in front of a value, in bytes.
const checksumSize = 4

// addChecksum returns a value with its checksum in front of it.
func addChecksum(v []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, len(v)+checksumSize), boltfile.Checksum(v)), v...)
}

// verifyChecksum checks a value and returns it without its checksum. The result is valid only while the transaction is open.
func verifyChecksum(v []byte) ([]byte, error) {
	if len(v) < checksumSize || boltfile.Checksum(v[checksumSize:]) != binary.BigEndian.Uint32(v) {
		return nil, ErrDamaged
	}
	return v[checksumSize:], nil
}
