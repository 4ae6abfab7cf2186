// Package boltfile opens bbolt files that may be damaged.
//
// bbolt panics on a page that makes no sense, and reads a file that was cut short through memory that is
// not there (SIGBUS). Here both are the error ErrDamaged, and never end the process.
//
// bbolt itself checks only its two meta pages. Callers store a checksum with each record, and check it when
// they read the record.
//
// # Files
//
//   - file.go: opening files, transactions
//   - guard.go: panics and faults as errors
//   - meta.go: the check of the meta pages, with their layout
//   - errors.go: the errors, the checksum of records
package boltfile
