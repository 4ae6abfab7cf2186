package http1

import "time"

// fill reads bytes of the request in progress, at most limit.
func (s *Server) fill(c *conn, limit int) error {
	space := c.buffer.space()
	if len(space) == 0 {
		if !s.takeChunk(c) {
			return errNoMemory
		}
		space = c.buffer.space()
	}
	n, err := c.from.Read(space[:min(limit, len(space))])
	c.buffer.size += n
	if n > 0 {
		s.progressed(c)
		return nil
	}
	return err //nolint:wrapcheck // callers compare with io.EOF, and add what was being read
}

// progressed notes that bytes of a connection's request have arrived.
func (s *Server) progressed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.isGone() {
		return
	}
	c.progressAt = time.Now()
	if c.state == connReading {
		s.byState[connReading].MoveToBack(c.inState)
	}
	if c.inHolders != nil {
		s.holders.MoveToBack(c.inHolders)
	}
}

// takeChunk gives a connection another chunk. If all are in use, it closes the connection that has stalled the longest of those
// that hold chunks. It reports false if there is none.
func (s *Server) takeChunk(c *conn) bool {
	taken := s.chunks.take(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if taken == nil && s.evictHolder() {
		taken = s.chunks.take(true)
	}
	if taken == nil {
		return false
	}
	s.hold(c, taken)
	return true
}

// hold adds a chunk to a connection's buffer. s.mu is held.
func (s *Server) hold(c *conn, taken *chunk) {
	c.buffer.chunks = append(c.buffer.chunks, taken)
	c.tookChunks = true
	if c.inHolders == nil {
		c.inHolders = s.holders.PushBack(c)
	}
}

// freeChunks returns chunks that a connection has dropped. s.mu is held.
func (s *Server) freeChunks(c *conn, chunks []*chunk) {
	s.chunks.put(chunks)
	if len(c.buffer.chunks) == 0 && c.inHolders != nil {
		s.holders.Remove(c.inHolders)
		c.inHolders = nil
	}
}

// dropRequest drops the first n bytes of a connection's buffer, and returns the chunks that it does not need any more.
func (s *Server) dropRequest(c *conn, n int) {
	unused := c.buffer.drop(n)
	if len(unused) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeChunks(c, unused)
}

// prefill puts bytes that were read earlier into the buffer of a connection that is not served yet. It reports false if there is
// no memory for them. s.mu is held.
func (s *Server) prefill(c *conn, read []byte) bool {
	c.eviction.setHandling(len(read) > 0)
	for len(read) > 0 {
		space := c.buffer.space()
		if len(space) == 0 {
			taken := s.chunks.take(true)
			if taken == nil {
				s.freeChunks(c, c.buffer.drop(c.buffer.size))
				return false
			}
			s.hold(c, taken)
			continue
		}
		n := copy(space, read)
		c.buffer.size += n
		read = read[n:]
	}
	return true
}
