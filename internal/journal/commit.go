package journal

import "fmt"

// note applies a record, and buffers it for the next Commit.
func (j *Journal) note(r record) {
	j.apply(r)
	j.noted++
	j.buffer = appendRecord(j.buffer, r)
}

// LastRecord returns the number of the last record that was noted.
func (j *Journal) LastRecord() uint64 { return j.noted }

// Durable reports whether a later process finds the record of this number.
func (j *Journal) Durable(record uint64) bool { return record <= j.durable }

// Commit writes what was noted. After an error no effect that relies on these records may be carried
// out; the next Commit writes a new file from the state in memory.
func (j *Journal) Commit() error {
	j.reservedSize = 0
	if len(j.buffer) == 0 && !j.failed {
		return nil
	}
	err := j.write()
	j.buffer = j.buffer[:0]
	j.failed = err != nil
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.durable, j.mayHoldUncommitted = j.noted, false
	return nil
}

// write appends the buffer to the file, or compacts the file where that is due.
func (j *Journal) write() error {
	if j.compactionDue() {
		return j.compact()
	}
	return j.append(j.buffer)
}

// compactionDue reports whether the next commit has to write a new file: nothing may be appended to one
// that failed, the file and its next compaction have to fit under the limit, and the file must not
// grow far beyond its live content.
func (j *Journal) compactionDue() bool {
	grown := j.fileSize + len(j.buffer)
	return j.failed ||
		grown+j.liveSize > j.sizeLimit ||
		grown > 2*(j.liveSize+j.completedSize)+compactionSlack
}

// append writes records at the end of the file. What a failed write leaves there is cut off again:
// against a later process that recovers requests whose clients were notified of a rejection.
func (j *Journal) append(records []byte) error {
	if _, err := j.file.Write(records); err != nil {
		if j.file.Truncate(int64(j.fileSize)) != nil {
			j.mayHoldUncommitted = true
		}
		return fmt.Errorf("append: %w", err)
	}
	j.fileSize += len(records)
	return nil
}

// Failed reports whether the last commit failed. Later processes then know only the records committed
// before it.
func (j *Journal) Failed() bool { return j.failed }

// MayHoldUncommitted reports whether commits that failed since the last good one may have left records
// in the file.
func (j *Journal) MayHoldUncommitted() bool { return j.mayHoldUncommitted }
