package relay

import (
	"fmt"
	"strconv"
	"strings"

	"frostlink/policy"
)

// validate checks the configuration and sets the fields that are derived from it.
func (c *Config) validate() *ConfigError {
	if err := c.validateLimits(); err != nil {
		return err
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return &ConfigError{Key: "seed", Reason: err}
	}
	c.seed = int64(seed)
	if c.policy, err = c.Settings.Policy(); err != nil {
		return &ConfigError{Reason: err}
	}
	for i, name := range c.classNames() {
		if name == "" || strings.ContainsAny(name, "/?# \t\r\n") {
			key := fmt.Sprintf("settings: categories[%d].name", i)
			return &ConfigError{Key: key, Reason: fmt.Errorf("%q can't be the first segment of a URL path", name)}
		}
	}
	c.applySocketLimits()
	if _, err := policy.New(c.policy, c.seed); err != nil { // policy.New validates the settings
		return &ConfigError{Reason: err}
	}
	return nil
}

// validateLimits checks the limits.
func (c *Config) validateLimits() *ConfigError {
	switch {
	case !(c.Limits.Cores > 0):
		return notPositive("limits.cores", c.Limits.Cores)
	case !(c.Limits.MemoryMB > 0):
		return notPositive("limits.memory_mb", c.Limits.MemoryMB)
	case c.Limits.Sockets < 1:
		return notPositive("limits.sockets", c.Limits.Sockets)
	case !(c.Limits.DiskMB > 0):
		return notPositive("limits.disk_mb", c.Limits.DiskMB)
	}
	return nil
}

func notPositive[N int | float64](key string, value N) *ConfigError {
	return &ConfigError{Key: key, Reason: fmt.Errorf("%v is not above 0", value)}
}

// applySocketLimits sets the policy settings whose values differ between sockets and the simulator's protocol.
func (c *Config) applySocketLimits() {
	c.policy.MaxInFlight = min(c.policy.MaxInFlight, c.maxAttempts())
	// The relay opens a watch even if the platform pushes lists: pushed lists reach the relay on a watch, and the platform counts a
	// list as received as soon as its agent has the list, whether or not a watch is open.
	c.policy.WatchEndpoints = true
	c.policy.AwaitAcknowledgement = true // notices are posted, and responses written, some time after the decision
	for i := range c.policy.Kinds {
		c.policy.Kinds[i].MaxBatch = 1 // an attempt carries one request
	}
}
