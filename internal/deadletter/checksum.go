package deadletter

import (
	"encoding/binary"

	"frostlink/internal/boltfile"
)

// addChecksum puts a checksum before a value.
func addChecksum(v []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, len(v)+4), boltfile.Checksum(v)), v...)
}

// verifyChecksum checks a value and gives it without its checksum. It is valid within its transaction only.
func verifyChecksum(v []byte) ([]byte, error) {
	if len(v) < 4 || boltfile.Checksum(v[4:]) != binary.BigEndian.Uint32(v) {
		return nil, ErrDamaged
	}
	return v[4:], nil
}
