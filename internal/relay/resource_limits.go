package relay

import "frostlink/internal/frontend"

// File descriptors are divided between the parts of the relay, so that load on one part can't use up the descriptors of
// another: reservedDescriptors are for the listener, the journal and its next file, the watch, posts of notices, the reload
// of the configuration, standard streams and the runtime; operators get adminConnFraction; clients get clientConnFraction of
// the rest; endpoints get the remainder.
const (
	reservedDescriptors = 24
	clientConnFraction  = 0.55
	// idleClientConnFraction is the fraction of the descriptors that clients' idle connections may take: far less than the
	// third of all descriptors that clients may hold for requests, and enough for one connection per concurrent request at
	// peak load.
	idleClientConnFraction = 1.0 / 8
	// adminConnFraction is the fraction of the descriptors for operators' connections, which are at least minAdminConns:
	// enough for calls to be served while other connections are open and silent.
	adminConnFraction, minAdminConns = 1.0 / 24, 8
)

// Memory is divided in the same way; docs/design/memory.md has the table of all owners. These are the fractions and numbers of each
// MB of the relay's memory.
const (
	// clientConnsPerMB limits clients' connections, of about 6 KB each.
	clientConnsPerMB = 12
	// endpointConnsPerMB limits connections to endpoints, of about 6 KB each, and attemptsPerMB attempts in flight, of about 20 KB each
	// in addition.
	endpointConnsPerMB, attemptsPerMB = 8, 4
	// endpointsPerMB limits the endpoints that are known, of about 2 KB each; the largest fleet has 100 for each MB of the smallest relay.
	endpointsPerMB = 128
	// journalMemoryFraction is the largest fraction of the memory for the journal file: the page cache counts towards the memory
	// limit, and the content of the file is also held in memory.
	journalMemoryFraction = 0.15
	// completedMemoryFraction is the fraction of the memory for the ids of completed requests.
	completedMemoryFraction = 1.0 / 32
	// rejectedMemoryFraction is the fraction of the memory for records of rejected requests that wait for the dead-letter store.
	rejectedMemoryFraction = 1.0 / 32
	// heapMemoryFraction is the largest fraction of the memory that the Go runtime may take. programMB is the memory in MB of the
	// program's own files and of what the runtime does not count.
	heapMemoryFraction, programMB = 0.6, 11.0
	// minHeapMB is the least memory in MB that is left to the Go runtime.
	minHeapMB = 8.0

	bytesPerMB = 1 << 20
)

// maxAdminConns returns the limit of operators' connections.
func (c *Config) maxAdminConns() int {
	if c.AdminAddress == "" {
		return 0
	}
	return max(minAdminConns, int(adminConnFraction*float64(c.Limits.Sockets)))
}

// unavailableDescriptors returns the number of descriptors that neither clients nor endpoints may use.
func (c *Config) unavailableDescriptors() int { return reservedDescriptors + c.maxAdminConns() }

// maxClientConns returns the limit of clients' connections.
func (c *Config) maxClientConns() int {
	return max(1, min(int(clientConnFraction*float64(c.Limits.Sockets-c.unavailableDescriptors())), int(clientConnsPerMB*c.Limits.MemoryMB)))
}

// maxPendingClientConns returns the limit of clients' connections that are accepted and not served yet.
func (c *Config) maxPendingClientConns() int { return max(1, c.maxClientConns()/pendingFraction) }

// pendingFraction is the number of clients' connections for each one that may be pending.
const pendingFraction = 12

// maxIdleClientConns returns the limit of clients' idle connections.
func (c *Config) maxIdleClientConns() int {
	return max(1, int(idleClientConnFraction*float64(c.Limits.Sockets)))
}

// maxEndpointConns returns the limit of connections to endpoints, idle or with an attempt in flight.
func (c *Config) maxEndpointConns() int {
	descriptors := c.Limits.Sockets - c.unavailableDescriptors() - c.maxClientConns() - c.maxPendingClientConns()
	return max(1, min(descriptors, int(endpointConnsPerMB*c.Limits.MemoryMB)))
}

// maxEndpoints returns the limit of endpoints that are known, and of the destinations that they serve.
func (c *Config) maxEndpoints() int { return max(1, int(endpointsPerMB*c.Limits.MemoryMB)) }

// maxAttempts returns the limit of attempts in flight, each of which needs a connection.
func (c *Config) maxAttempts() int {
	return max(1, min(c.maxEndpointConns(), int(attemptsPerMB*c.Limits.MemoryMB)))
}

// journalSizeMB returns the limit of the journal's size.
func (c *Config) journalSizeMB() float64 {
	return min(c.Limits.DiskMB, journalMemoryFraction*c.Limits.MemoryMB)
}

// completedMemory returns the limit of the memory for ids of completed requests, in bytes.
func (c *Config) completedMemory() int {
	return int(completedMemoryFraction * c.Limits.MemoryMB * bytesPerMB)
}

// rejectedMemory returns the limit of the memory for records of rejected requests that wait for the dead-letter store, in bytes; 0: the
// operator's file does not ask for such records.
func (c *Config) rejectedMemory() int {
	if c.OperatorFile == nil || c.OperatorFile.DeadLetter == nil || !c.OperatorFile.DeadLetter.KeepRejected {
		return 0
	}
	return max(recordOverhead+frontend.MaxBodySize, int(rejectedMemoryFraction*c.Limits.MemoryMB*bytesPerMB))
}

// HeapLimit returns the soft limit of the Go runtime's memory, in bytes: what the program and the journal's files leave of the
// relay's memory.
func (c *Config) HeapLimit() int64 {
	left := c.Limits.MemoryMB - programMB - c.journalSizeMB()
	return int64(bytesPerMB * max(minHeapMB, min(left, heapMemoryFraction*c.Limits.MemoryMB)))
}
