package relay

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"frostlink/policy"
)

func (c *Config) validate() error {
	switch {
	case c.Listen == "":
		return errors.New("listen: missing")
	case !(c.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case !(c.Limits.MemoryMB > 0):
		return fmt.Errorf("limits.memory_mb: %v is not above 0", c.Limits.MemoryMB)
	case c.Limits.Sockets < 1:
		return fmt.Errorf("limits.sockets: %d is not above 0", c.Limits.Sockets)
	case !(c.Limits.DiskMB > 0):
		return fmt.Errorf("limits.disk_mb: %v is not above 0", c.Limits.DiskMB)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	c.seed = int64(seed)
	if c.policy, err = c.Settings.Policy(); err != nil {
		return err
	}
	for i, name := range c.classNames() {
		if name == "" || strings.ContainsAny(name, "/?# \t\r\n") {
			return fmt.Errorf("settings: categories[%d].name: %q can't be the first part of a path", i, name)
		}
	}
	c.applySocketLimits()
	_, err = policy.New(c.policy, c.seed) // its own check of the settings
	return err
}

// applySocketLimits has the module know what differs from the simulator's wire on sockets.
func (c *Config) applySocketLimits() {
	c.policy.MaxInFlight = min(c.policy.MaxInFlight, c.maxEndpointConns()) // a call needs a connection
	// A list that the platform pushes comes on a watch as well: what its agent has counts as told whether or not one is open.
	c.policy.WatchEndpoints = true
	c.policy.AwaitAcknowledgement = true // a notice is posted, and an answer written, after it is decided on
	for i := range c.policy.Kinds {
		c.policy.Kinds[i].MaxBatch = 1 // a call carries one message
	}
}

// validateOperatorFile checks the operator's file against the platform's configuration.
func (cfg *Config) validateOperatorFile() error {
	if cfg.Own == nil || cfg.Own.Undelivered == nil {
		return nil
	}
	var errs []error
	for i, r := range cfg.Own.Undelivered.Rules {
		for _, fault := range r.Against(cfg.ResendClasses(cfg.Own.Undelivered)) {
			errs = append(errs, fmt.Errorf("the operator's file: undelivered.rule[%d]: %s", i+1, fault))
		}
	}
	return errors.Join(errs...)
}
