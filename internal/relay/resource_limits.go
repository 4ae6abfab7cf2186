package relay

// Every descriptor has its owner, so that no part runs short because another has much to do: reservedDescriptors are for the
// listener, the journal and its next file, the watch, posts of notices, a configuration that is read again, standard streams
// and the runtime; operators get adminConnFraction, clients clientConnFraction of the rest, and endpoints what is left.
const (
	reservedDescriptors = 24
	clientConnFraction  = 0.55
	// clientConnsPerMB bounds clients' connections by the memory too: one needs about 16 KiB.
	clientConnsPerMB = 12
	// idleClientConnFraction of the descriptors may be clients' idle connections: far less than the third that clients may
	// hold for requests, and enough to keep one for each concurrent request of the busiest days.
	idleClientConnFraction = 1.0 / 8
	// adminConnFraction of the descriptors, and minAdminConns at least, are for operators' calls: enough for those that send
	// nothing beside those that do.
	adminConnFraction, minAdminConns = 1.0 / 24, 8
)

// journalMemoryFraction of the memory is what the journal may take at most: files count as memory, and what the file holds
// is held in memory as well.
const journalMemoryFraction = 0.15

// maxAdminConns returns how many connections operators may have.
func (c *Config) maxAdminConns() int {
	if c.Management == "" {
		return 0
	}
	return max(minAdminConns, int(adminConnFraction*float64(c.Limits.Sockets)))
}

// unavailableDescriptors returns how many descriptors are neither for clients nor for endpoints.
func (c *Config) unavailableDescriptors() int { return reservedDescriptors + c.maxAdminConns() }

// maxClientConns returns how many connections clients may have.
func (c *Config) maxClientConns() int {
	return max(1, min(int(clientConnFraction*float64(c.Limits.Sockets-c.unavailableDescriptors())), int(clientConnsPerMB*c.Limits.MemoryMB)))
}

// maxIdleClientConns returns how many of their connections clients may keep without a request.
func (c *Config) maxIdleClientConns() int {
	return max(1, int(idleClientConnFraction*float64(c.Limits.Sockets)))
}

// maxEndpointConns returns how many connections there may be to endpoints, idle or with an attempt in flight.
func (c *Config) maxEndpointConns() int {
	return max(1, c.Limits.Sockets-c.unavailableDescriptors()-c.maxClientConns())
}

// journalSizeMB returns how large the journal may be.
func (c *Config) journalSizeMB() float64 {
	return min(c.Limits.DiskMB, journalMemoryFraction*c.Limits.MemoryMB)
}
