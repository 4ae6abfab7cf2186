package journal

const (
	// usableFraction of the folder's limit is used. The rest is for the file system's whole blocks, and
	// for the other files in the folder.
	usableFraction = 0.9
	// attemptsSize is reserved for the later records of each request when it is accepted, and detailsSize
	// more where these tell outcomes and times as well.
	attemptsSize, detailsSize = 2048, 1536
	// orderSize is reserved for a request's place in the order of its subject.
	orderSize = 128
	// endpointSize is reserved for each endpoint of the list.
	endpointSize = 256
	// compactionSlack is by how much the file may exceed twice its live size before it is compacted.
	compactionSlack = 256 << 10
	// completedFraction of the size limit is what completed requests may occupy in the file.
	completedFraction = 0.1
)

// Reserve reports whether a request may be accepted, and reserves its size until the next Commit. All
// that is live must fit twice, or the file could not be compacted.
func (j *Journal) Reserve(e *Entry) bool {
	size := j.sizeOf(e)
	if j.failed || 2*(j.liveSize+j.reservedSize+size) > j.sizeLimit {
		return false
	}
	j.reservedSize += size
	return true
}

// sizeOf returns an upper estimate of the size of a request's records, later ones included.
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

// completedCapacity returns how many bytes of a compacted file completed requests may occupy. Live
// records come first, the old file stands beside the new one, and half of what is left is for the
// records until the next compaction.
func (j *Journal) completedCapacity() int {
	return min(
		int(completedFraction*float64(j.sizeLimit)),
		j.sizeLimit-j.fileSize-j.liveSize,
		(j.sizeLimit-2*j.liveSize)/2,
	)
}
