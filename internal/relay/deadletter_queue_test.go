package relay

import (
	"fmt"
	"testing"

	"frostlink/internal/deadletter"
)

// Records of rejected requests wait in a bounded memory, whatever the size of their bodies; all of the requests are counted, very many
// tenants together. What was written makes room for others.
func TestDeadLetterQueue_BoundsRejectedByMemory(t *testing.T) {
	const body, fitting, rejections = 9 << 10, 10, 1000
	q := newDeadLetterQueue(fitting * (body + recordOverhead))
	for i := range rejections {
		q.addRejected(deadletter.Message{Record: deadletter.Record{Class: "order", Tenant: fmt.Sprint("tenant", i)}, Body: make([]byte, body)})
	}
	q.poll()
	batch, _ := q.nextBatch()
	counted := 0
	for _, n := range batch.rejectedCounts {
		counted += n
	}
	if len(batch.rejectedRecords) != fitting || counted != rejections || len(batch.rejectedCounts) >= rejections {
		t.Errorf("%d records, %d counted in %d groups; want %d, %d in fewer groups", len(batch.rejectedRecords), counted, len(batch.rejectedCounts), fitting, rejections)
	}
	q.removeRejectedRecords(fitting)
	q.removeRejectedCounts(batch.rejectedCounts)
	q.addRejected(deadletter.Message{Body: make([]byte, body)})
	q.poll()
	if batch, _ = q.nextBatch(); len(batch.rejectedRecords) != 1 || len(batch.rejectedCounts) != 1 || q.rejectedBytes != body+recordOverhead {
		t.Errorf("after the first were written: %d records of %d bytes, %d groups", len(batch.rejectedRecords), q.rejectedBytes, len(batch.rejectedCounts))
	}
}
