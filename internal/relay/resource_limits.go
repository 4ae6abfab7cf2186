package relay

// File descriptors are divided between the parts of the relay, so that load on one part can't use up the descriptors of
// another: reservedDescriptors are for the listener, the journal and its next file, the watch, posts of notices, the reload
// of the configuration, standard streams and the runtime; operators get adminConnFraction; clients get clientConnFraction of
// the rest; endpoints get the remainder.
const (
	reservedDescriptors = 24
	clientConnFraction  = 0.55
	// clientConnsPerMB also limits clients' connections by memory: a connection needs about 16 KiB.
	clientConnsPerMB = 12
	// idleClientConnFraction is the fraction of the descriptors that clients' idle connections may take: far less than the
	// third of all descriptors that clients may hold for requests, and enough for one connection per concurrent request at
	// peak load.
	idleClientConnFraction = 1.0 / 8
	// adminConnFraction is the fraction of the descriptors for operators' connections, which are at least minAdminConns:
	// enough for calls to be served while other connections are open and silent.
	adminConnFraction, minAdminConns = 1.0 / 24, 8
)

// journalMemoryFraction is the largest fraction of the memory for the journal file: the page cache counts towards the memory
// limit, and the content of the file is also held in memory.
const journalMemoryFraction = 0.15

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

// maxIdleClientConns returns the limit of clients' idle connections.
func (c *Config) maxIdleClientConns() int {
	return max(1, int(idleClientConnFraction*float64(c.Limits.Sockets)))
}

// maxEndpointConns returns the limit of connections to endpoints, idle or with an attempt in flight.
func (c *Config) maxEndpointConns() int {
	return max(1, c.Limits.Sockets-c.unavailableDescriptors()-c.maxClientConns())
}

// journalSizeMB returns the limit of the journal's size.
func (c *Config) journalSizeMB() float64 {
	return min(c.Limits.DiskMB, journalMemoryFraction*c.Limits.MemoryMB)
}
