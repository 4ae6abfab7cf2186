package relay

// Every descriptor has its owner, so that none runs short because another has much to do: ownDescriptors are
// for the listener, the journal and its next file, the watch, posts of notices, a configuration that is read
// again, standard streams and the runtime; clients get clientShare of the rest, and hosts what is left.
const (
	reservedDescriptors = 24
	clientConnFraction  = 0.55
	// clientConnsPerMB bounds clients' connections by the memory too: one takes about 16 KiB.
	clientConnsPerMB = 12
	// idleClientConnFraction of the descriptors may be clients' idle connections: far less than the third that clients may
	// hold for requests, and enough to keep one for each request at once of the busiest days.
	idleClientConnFraction = 1.0 / 8
	// adminConnFraction of the descriptors, and doorLeast at least, are for operators' calls: enough for those who say nothing
	// beside those who ask.
	adminConnFraction, minAdminConns = 1.0 / 24, 8
)

// maxAdminConns is how many connections operators may have, and own how many descriptors belong neither to clients nor hosts.
func (c *Config) maxAdminConns() int {
	if c.Management == "" {
		return 0
	}
	return max(minAdminConns, int(adminConnFraction*float64(c.Limits.Sockets)))
}

func (c *Config) unavailableDescriptors() int { return reservedDescriptors + c.maxAdminConns() }

// maxClientConns is how many connections clients may have.
func (c *Config) maxClientConns() int {
	return max(1, min(int(clientConnFraction*float64(c.Limits.Sockets-c.unavailableDescriptors())), int(clientConnsPerMB*c.Limits.MemoryMB)))
}

// maxIdleClientConns is how many of their connections clients may keep without a request.
func (c *Config) maxIdleClientConns() int {
	return max(1, int(idleClientConnFraction*float64(c.Limits.Sockets)))
}

// maxEndpointConns is how many connections there may be to hosts, idle or with a call out.
func (c *Config) maxEndpointConns() int {
	return max(1, c.Limits.Sockets-c.unavailableDescriptors()-c.maxClientConns())
}

// journalSizeMB is how large the journal may be, in MB.
func (c *Config) journalSizeMB() float64 {
	return min(c.Limits.DiskMB, journalMemoryFraction*c.Limits.MemoryMB)
}
