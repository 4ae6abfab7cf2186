package journal

import "fmt"

// addRecord applies a record to the state in memory, and buffers it for the next Commit.
func (j *Journal) addRecord(r record) {
	j.apply(r)
	j.recordCount++
	j.buffer.add(r)
}

// LastRecord returns the number of the last record that was added.
func (j *Journal) LastRecord() uint64 { return j.recordCount }

// Durable reports whether a later process that replays the file will read the record with this number.
func (j *Journal) Durable(record uint64) bool { return record <= j.durable }

// Commit writes the buffered records. After an error, no effect that relies on these records may be
// carried out, and the next Commit writes a new file from the state in memory.
func (j *Journal) Commit() error {
	j.reservedSize = 0
	if j.buffer.size == 0 && !j.failed {
		return nil
	}
	err := j.write()
	j.buffer.reset()
	j.failed = err != nil
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.durable, j.mayHoldUncommitted = j.recordCount, false
	return nil
}

// write appends the buffer to the file, or compacts the file if a compaction is due.
func (j *Journal) write() error {
	if j.compactionDue() {
		return j.compact()
	}
	return j.append(&j.buffer)
}

// compactionDue reports whether the next commit has to write a new file. Nothing may be appended to a
// file after a failed commit, the file and its next compaction have to fit under the size limit
// together, and the file must not grow far beyond its live content.
func (j *Journal) compactionDue() bool {
	grown := j.fileSize + j.buffer.size
	return j.failed ||
		grown+j.liveSize+j.completed.size+j.compactionReserve() > j.sizeLimit ||
		grown > 2*(j.liveSize+j.completed.size)+compactionSlack
}

// append writes records at the end of the file. If the write fails, append truncates the file to its
// previous size; otherwise a later process could recover requests whose clients were told that they
// were rejected.
func (j *Journal) append(records *recordBuffer) error {
	if err := records.writeTo(j.file); err != nil {
		if j.file.Truncate(int64(j.fileSize)) != nil {
			j.mayHoldUncommitted = true
		}
		return fmt.Errorf("append: %w", err)
	}
	j.fileSize += records.size
	return nil
}

// Failed reports whether the last commit failed. A later process then reads only the records of earlier
// commits, unless MayHoldUncommitted reports true.
func (j *Journal) Failed() bool { return j.failed }

// MayHoldUncommitted reports whether a commit that failed since the last successful one may have left
// its records in the file.
func (j *Journal) MayHoldUncommitted() bool { return j.mayHoldUncommitted }
