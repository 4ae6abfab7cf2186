package boltfile

import (
	"errors"
	"hash/crc32"
)

var (
	// ErrDamaged is returned if a part of a file is invalid or missing.
	ErrDamaged = errors.New("damaged")
	// ErrInUse is returned if another process has the file open.
	ErrInUse = errors.New("in use by another process")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the checksum of a record's content: CRC-32C (Castagnoli).
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }
