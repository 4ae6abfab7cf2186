package journal

const (
	// usableFraction is the fraction of the folder's limit that the journal uses. The rest is for the
	// other files in the folder, and for rounding up to whole blocks of the file system.
	usableFraction = 0.9
	// attemptsSize is the number of bytes that are reserved at acceptance for the later records of each
	// request. detailsSize bytes are added if these records contain outcomes and times as well.
	attemptsSize, detailsSize = 2048, 1536
	// orderSize is the number of bytes that are reserved for the Order of a request.
	orderSize = 128
	// endpointSize is the number of bytes that are reserved for each endpoint of the list.
	endpointSize = 256
	// compactionSlack is the number of bytes by which the file may exceed twice its live size before it
	// is compacted.
	compactionSlack = 256 << 10
	// appendReserveFraction is the fraction of the size limit that live records leave to records that are appended.
	appendReserveFraction = 0.125
	// completedShare is the fraction of the size limit that completed requests may take of what live records leave to appended ones.
	completedShare = 0.02
	// batchFraction is the fraction of the size limit that is left to the requests of one commit before the file is compacted.
	batchFraction = 0.15
)

// Reserve reports whether there is space to accept a request, and to remember its id once it is completed, and reserves its size until
// the next Commit. The live records must fit under the limit twice, because the old file and the new one exist
// together during a compaction, and leave space for records that are appended in between.
func (j *Journal) Reserve(e *Entry) bool {
	size := j.sizeOf(e)
	if j.failed || size > j.SpaceLeft() || !j.CanRemember(e.ID) {
		return false
	}
	j.reservedSize += size
	return true
}

// appendReserve returns how many bytes the file may grow between two compactions while the live records take all the space that they
// may. Without it each commit would write all of them.
func (j *Journal) appendReserve() int { return int(appendReserveFraction * float64(j.sizeLimit)) }

// SpaceLeft returns the number of bytes that are left for the records of further requests. A compaction has to fit beside the file
// at any time, also if it is due only because of these requests.
func (j *Journal) SpaceLeft() int {
	if j.failed {
		return 0
	}
	return min(j.liveSpaceLeft(), j.completedCapacity()-j.completed.size) - j.reservedSize
}

// liveSpaceLeft returns the number of bytes that are left for live records after a compaction. Completed requests need space as live
// records do, as soon as they exceed their share of what is left to appended records.
func (j *Journal) liveSpaceLeft() int {
	completed := max(0, j.completed.size-int(completedShare*float64(j.sizeLimit)))
	return (j.sizeLimit-j.appendReserve())/2 - j.liveSize - completed
}

// compactionReserve returns the space in bytes that the file and its next compaction leave to the requests of one commit.
func (j *Journal) compactionReserve() int {
	return max(0, min(j.liveSpaceLeft(), int(batchFraction*float64(j.sizeLimit))))
}

// sizeOf returns an upper estimate of the total size of a request's records, later ones included.
func (j *Journal) sizeOf(e *Entry) int {
	size := len(e.Body) + 4*len(e.ID) + len(e.IdempotencyKey) + len(e.OrderKey) + len(e.Tenant) + attemptsSize
	if j.detailed {
		size += detailsSize
	}
	if e.Order != nil {
		size += 2*len(e.Subject) + orderSize
	}
	return size
}

// completedCapacity returns how many bytes of a compacted file completed requests may occupy: what the old file, which exists beside
// the new one, and the live records leave. Reserve sees to it that this is enough, unless the limit of an earlier process was higher.
func (j *Journal) completedCapacity() int { return j.sizeLimit - j.fileSize - j.liveSize }
