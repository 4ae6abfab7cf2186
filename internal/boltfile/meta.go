package boltfile

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// The layout of a meta page of bbolt v1, which follows the header that every page has. All numbers are little endian.
//
//	offset  size  field
//	0       4     magic
//	4       4     version
//	8       4     page size
//	12      4     flags
//	16      16    root bucket
//	32      8     page number of the free list
//	40      8     number of pages in the file
//	48      8     number of the transaction
//	56      8     checksum of the fields above: FNV-1a, 64 bits
const (
	pageHeaderSize  = 16
	metaMagic       = 0xED0CDAED
	metaPageSizeAt  = 8
	metaPageCountAt = 40
	metaChecksumAt  = 56
	metaSize        = metaChecksumAt + 8

	// metaPages is the number of meta pages, which are the first pages of a file. Transactions write them alternately.
	metaPages = 2
)

// meta is a meta page without its header.
type meta [metaSize]byte

func (m *meta) pageSize() int64 { return int64(binary.LittleEndian.Uint32(m[metaPageSizeAt:])) }

func (m *meta) pageCount() int64 { return int64(binary.LittleEndian.Uint64(m[metaPageCountAt:])) }

// isValid reports whether the page has bbolt's magic number and a correct checksum.
func (m *meta) isValid() bool {
	sum := fnv.New64a()
	_, _ = sum.Write(m[:metaChecksumAt]) // a hash's Write returns no error
	return binary.LittleEndian.Uint32(m[:]) == metaMagic &&
		binary.LittleEndian.Uint64(m[metaChecksumAt:]) == sum.Sum64()
}

// CheckMetaPages checks that both meta pages of a file are valid. If the newer one is invalid, bbolt uses the older one
// without an error, and the last transaction is lost even though it may have been acknowledged. The check can't tell a page
// that was only partly written when the machine lost power from a page that was damaged later.
func CheckMetaPages(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("check meta pages: %w", err)
	}
	defer func() { _ = f.Close() }() // an error of Close does not matter after reading
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("check meta pages: %w", err)
	}
	pageSize := int64(0)
	for page := range int64(metaPages) {
		m, err := readMeta(f, page*pageSize)
		if err != nil {
			return fmt.Errorf("meta page %d: %w", page, err)
		}
		pageSize = m.pageSize()
		if pages := m.pageCount(); pages > info.Size()/max(pageSize, 1) {
			return fmt.Errorf("%w: truncated: the file has %d bytes, want %d pages of %d bytes", ErrDamaged, info.Size(), pages, pageSize)
		}
	}
	return nil
}

// readMeta reads the meta page at an offset of the file, and verifies its checksum.
func readMeta(f *os.File, offset int64) (*meta, error) {
	var m meta
	if _, err := f.ReadAt(m[:], offset+pageHeaderSize); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if !m.isValid() {
		return nil, ErrDamaged
	}
	return &m, nil
}
