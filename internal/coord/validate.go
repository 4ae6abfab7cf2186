package coord

// validate checks everything about a command that does not depend on the state.
func (c *Command) validate() error {
	if err := c.validateSizes(); err != nil {
		return err
	}
	switch c.Op {
	case OpOpen:
		return c.validateOpen()
	case OpRenew, OpClose:
		return nil
	case OpAcquire, OpRelease, OpTransfer, OpRevoke:
		if c.Lease == "" {
			return fieldErrorf("lease", "missing")
		}
	case OpPut, OpDelete:
		switch {
		case c.Key == "":
			return fieldErrorf("key", "missing")
		case len(c.Value) > MaxValueSize:
			return fieldErrorf("value", "%d bytes, %d at most", len(c.Value), MaxValueSize)
		}
	default:
		return fieldErrorf("op", "%q is unknown", c.Op)
	}
	if c.Seq == 0 {
		return fieldErrorf("seq", "missing")
	}
	return nil
}

func (c *Command) validateSizes() error {
	for _, text := range []struct{ field, value string }{
		{"nonce", c.Nonce},
		{"name", c.Name},
		{"lease", c.Lease},
		{"to", c.To},
		{"reason", c.Reason},
		{"key", c.Key},
	} {
		if len(text.value) > MaxNameSize {
			return fieldErrorf(text.field, "%d bytes, %d at most", len(text.value), MaxNameSize)
		}
	}
	return nil
}

func (c *Command) validateOpen() error {
	switch {
	case c.Nonce == "":
		return fieldErrorf("nonce", "missing")
	case c.TTL < MinTTL || c.TTL > MaxTTL:
		return fieldErrorf("ttl", "%v is not from %v to %v", c.TTL, MinTTL, MaxTTL)
	}
	return nil
}
