package relay

import (
	"encoding/json"
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

// Config is the platform's configuration file for one relay.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`    // the address for clients
	Discovery string `json:"discovery"` // the address of the discovery service
	Seed      string `json:"seed"`      // hexadecimal
	// AdminAddress is the address of the admin endpoint; empty: there is none.
	AdminAddress   string                 `json:"management"`
	Limits         Limits                 `json:"limits"`
	KnownEndpoints discovery.EndpointList `json:"known"`
	Settings       settings.Settings      `json:"settings"`

	// ListenFD is the descriptor of the clients' listening socket, if the platform holds it and every process inherits it; 0: the
	// relay opens its own.
	ListenFD int `json:"-"`

	// OperatorFile is the operator's file; nil means that every section of it is off.
	OperatorFile *operatorconfig.File `json:"-"`
	// OperatorPath is the path of the operator's file, for log messages; empty: there is none.
	OperatorPath string `json:"-"`

	policy policy.Settings
	seed   int64
	raw    []byte // the file's content
}

// Limits are the resources that the platform grants one relay.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// ReadConfig reads and checks a configuration file. Its errors are *ConfigError.
func ReadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Reason: err}
	}
	c := &Config{raw: raw}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, &ConfigError{File: path, Reason: err}
	}
	if err := c.validate(); err != nil {
		err.File = path
		return nil, err
	}
	return c, nil
}

// deadLetterSection returns the operator's section on dead letters, or nil if there is no dead-letter store.
func (c *Config) deadLetterSection() *deadletter.Section {
	if c.OperatorFile == nil {
		return nil
	}
	return c.OperatorFile.DeadLetter
}

// traceSection returns the operator's section on the trace, or nil if there is no trace.
func (c *Config) traceSection() *trace.Section {
	if c.OperatorFile == nil {
		return nil
	}
	return c.OperatorFile.Trace
}

// hasOwnEndpointList reports whether each relay polls its own endpoint list, kept by the platform's agent, instead of a discovery
// service that all relays share.
func (c *Config) hasOwnEndpointList() bool { return c.Settings.Discovery == "automatic" }

// classNames returns the names of the settings' classes.
func (c *Config) classNames() (names []string) {
	for _, class := range c.policy.Classes {
		names = append(names, class.Name)
	}
	return names
}

// longestDeadline returns the longest deadline of all classes.
func (c *Config) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// addRetiredClasses adds the classes that the settings no longer have, but that requests in the journal belong to. Their terms
// are read from the journal.
func (c *Config) addRetiredClasses(j *journal.Journal) {
	for _, e := range j.Entries() {
		if terms := j.Terms(e); terms != nil && !slices.Contains(c.classNames(), e.Class) {
			retired := *terms
			retired.Retired = true
			c.policy.Classes = append(c.policy.Classes, retired)
		}
	}
}

// validator returns the validator of clients' submissions.
func (c *Config) validator() *frontend.Validator {
	v := &frontend.Validator{Classes: map[string]*policy.Class{}, Tenants: map[string]bool{}, Subjects: map[string]*deadletter.Subject{}}
	for i := range c.policy.Classes {
		if class := &c.policy.Classes[i]; !class.Retired {
			v.Classes[class.Name] = class
		}
	}
	for _, t := range c.Settings.Tenants {
		v.Tenants[t.Name] = true
	}
	if section := c.deadLetterSection(); section != nil {
		for i := range section.Subjects {
			subject := &section.Subjects[i]
			v.Subjects[subject.Class] = subject
		}
	}
	return v
}
