// Package boltfile opens bbolt files that may be damaged.
//
// bbolt panics on an invalid page. If a file was truncated, bbolt reads mapped memory beyond the end of the file, which
// raises SIGBUS. This package turns both into the error ErrDamaged, so that they never end the process.
//
// bbolt itself verifies checksums only of its two meta pages. Callers store a checksum with each record, and verify it when
// they read the record.
//
// # Files
//
//   - file.go: opening files, transactions
//   - guard.go: converting panics and memory faults into errors
//   - meta.go: the check of the meta pages, with their layout
//   - errors.go: the errors, the checksum of records
package boltfile
