package deadletter

import (
	"sync/atomic"
	"syscall"

	"go.etcd.io/bbolt"
)

const (
	// recordsPerRelease is the number of records after which a scan releases the pages that it has read.
	recordsPerRelease = 50
	// transactionsPerRelease is the number of transactions after which the pages that they have read are released.
	transactionsPerRelease = 10
)

// residentPages counts what has read pages of a store's file. Pages that were read stay mapped, and count as this process's memory until
// the system is short of it, so that the memory would grow with the file. A page that is needed again after its release comes from the
// system's cache.
type residentPages struct{ transactions atomic.Int64 }

// afterTransaction releases the pages that transactions have read, at the end of every transactionsPerRelease-th one.
func (p *residentPages) afterTransaction(tx *bbolt.Tx) {
	if p.transactions.Add(1)%transactionsPerRelease == 0 {
		releasePages(tx)
	}
}

// releaseAfter releases the pages that a scan has read, after every recordsPerRelease records.
func releaseAfter(tx *bbolt.Tx, scanned int) {
	if scanned%recordsPerRelease == 0 {
		releasePages(tx)
	}
}

// releasePages releases all pages. The file is not mapped anew during a transaction. An error would only leave the pages in memory.
func releasePages(tx *bbolt.Tx) {
	_, _, _ = syscall.Syscall(syscall.SYS_MADVISE, tx.DB().Info().Data, uintptr(tx.Size()), syscall.MADV_DONTNEED)
}
