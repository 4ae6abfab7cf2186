// Package relay runs the decisions of package policy as a relay on sockets: clients hand messages in over
// HTTP, hosts get them over HTTP, and what was taken on outlasts the process in a journal.
package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"mallowlead/internal/settings"
	"mallowlead/policy"
)

// Config is what the platform tells a relay in its configuration file.
type Config struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"` // hexadecimal
	Limits    Limits            `json:"limits"`
	Known     Members           `json:"known"`
	Settings  settings.Settings `json:"settings"`

	policy policy.Settings
	seed   int64
}

// Limits are what the platform grants one relay.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// ReadConfig reads and checks a configuration file.
func ReadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	switch {
	case c.Listen == "":
		return errors.New("listen: missing")
	case c.Discovery == "":
		return errors.New("discovery: missing")
	case !(c.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case !(c.Limits.MemoryMB > 0):
		return fmt.Errorf("limits.memory_mb: %v is not above 0", c.Limits.MemoryMB)
	case c.Limits.Sockets < 1:
		return fmt.Errorf("limits.sockets: %d is not above 0", c.Limits.Sockets)
	case !(c.Limits.DiskMB > 0):
		return fmt.Errorf("limits.disk_mb: %v is not above 0", c.Limits.DiskMB)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	c.seed = int64(seed)
	if c.policy, err = c.Settings.Policy(); err != nil {
		return err
	}
	_, err = policy.New(c.policy, c.seed) // its own check of the settings
	return err
}
