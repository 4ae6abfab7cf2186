package relay

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/discovery"
	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/internal/operatorconfig"
	"frostlink/internal/settings"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// Config is what the platform tells a relay in its configuration file.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hexadecimal
	// Management is where the operators' door listens; empty: there is none.
	Management string                 `json:"management"`
	Limits     Limits                 `json:"limits"`
	Known      discovery.EndpointList `json:"known"`
	Settings   settings.Settings      `json:"settings"`

	// ListenFD is the descriptor of a clients' socket that the platform holds and every process inherits; 0: none.
	ListenFD int `json:"-"`

	// Own is the operator's own file; nil stands for one in which every section is off.
	Own *operatorconfig.File `json:"-"`

	policy policy.Settings
	seed   int64
	raw    []byte // as read
}

// Limits are what the platform grants one relay.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// longestDeadline is the longest that a message of any class lives.
func (c *Config) longestDeadline() time.Duration {
	most := time.Duration(0)
	for _, class := range c.policy.Classes {
		most = max(most, class.Deadline)
	}
	return most
}

// classNames are the settings' classes.
func (c *Config) classNames() (names []string) {
	for _, class := range c.policy.Classes {
		names = append(names, class.Name)
	}
	return names
}

// addRetiredClasses adds the classes that the settings no longer have, but that messages in the journal were taken on under.
func (c *Config) addRetiredClasses(kept *journal.Journal) {
	for _, e := range kept.Entries() {
		if terms := kept.Terms(e); terms != nil && !slices.Contains(c.classNames(), e.Class) {
			gone := *terms
			gone.Retired = true
			c.policy.Classes = append(c.policy.Classes, gone)
		}
	}
}

// deadLetterSection is what the operator says of undelivered messages; nil: they are not kept.
func (c *Config) deadLetterSection() *deadletter.Section {
	if c.Own == nil {
		return nil
	}
	return c.Own.Undelivered
}

// traceSection is what the operator says of the trace; nil: there is none.
func (c *Config) traceSection() *trace.Section {
	if c.Own == nil {
		return nil
	}
	return c.Own.Trace
}

// validator is the check of what clients hand in.
func (c *Config) validator() *frontend.Validator {
	check := &frontend.Validator{Classes: map[string]*policy.Class{}, Tenants: map[string]bool{}, Subjects: map[string]*deadletter.Subject{}}
	for i := range c.policy.Classes {
		if class := &c.policy.Classes[i]; !class.Retired {
			check.Classes[class.Name] = class
		}
	}
	for _, t := range c.Settings.Tenants {
		check.Tenants[t.Name] = true
	}
	if c.Own != nil && c.Own.Undelivered != nil {
		for i := range c.Own.Undelivered.Subjects {
			subject := &c.Own.Undelivered.Subjects[i]
			check.Subjects[subject.Class] = subject
		}
	}
	return check
}

// ReadConfig reads and checks a configuration file.
func ReadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{raw: raw}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// hasOwnEndpointList tells whether each relay has a list of its own to ask, that its platform's agent keeps, and no discovery that all share.
func (c *Config) hasOwnEndpointList() bool { return c.Settings.Discovery == "automatic" }
