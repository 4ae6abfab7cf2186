// Package relay runs the decisions of package policy as a relay on sockets: clients hand messages in over
// HTTP, hosts get them over HTTP, and what was taken on outlasts the process in a journal.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
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

// Every descriptor has its owner, so that none runs short because another has much to do: ownDescriptors are
// for the listener, the journal and its next file, the watch, posts of notices, a configuration that is read
// again, standard streams and the runtime; clients get clientShare of the rest, and hosts what is left.
const (
	reservedDescriptors = 24
	clientConnFraction    = 0.55
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
func (c *Config) maxIdleClientConns() int { return max(1, int(idleClientConnFraction*float64(c.Limits.Sockets))) }

// maxEndpointConns is how many connections there may be to hosts, idle or with a call out.
func (c *Config) maxEndpointConns() int { return max(1, c.Limits.Sockets-c.unavailableDescriptors()-c.maxClientConns()) }

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

// journalSizeMB is how large the journal may be, in MB.
func (c *Config) journalSizeMB() float64 { return min(c.Limits.DiskMB, journalMemoryFraction*c.Limits.MemoryMB) }

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

// hasOwnEndpointList tells whether each relay has a list of its own to ask, that its platform's agent keeps, and no discovery that all share.
func (c *Config) hasOwnEndpointList() bool { return c.Settings.Discovery == "automatic" }

// missingKey names the first key that a running configuration has and a new one does not: a file of which a part was lost
// can still be JSON, and what is missing would count as 0. Lists are held against the keys that all their elements
// share. The list of hosts is not looked at: it may be empty.
func missingKey(running, next []byte) error {
	var had, has any
	if err := errors.Join(json.Unmarshal(running, &had), json.Unmarshal(next, &has)); err != nil {
		return err
	}
	if top, ok := had.(map[string]any); ok {
		delete(top, "known")
	}
	return missingKeyIn("", had, has)
}

func missingKeyIn(path string, had, has any) error {
	switch had := had.(type) {
	case map[string]any:
		has, ok := has.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: is no object", path)
		}
		for _, key := range slices.Sorted(maps.Keys(had)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			v, ok := has[key]
			if !ok {
				return fmt.Errorf("%s: missing", at)
			}
			if err := missingKeyIn(at, had[key], v); err != nil {
				return err
			}
		}
	case []any:
		has, ok := has.([]any)
		if !ok {
			return fmt.Errorf("%s: is no list", path)
		}
		common := commonKeys(had)
		if common == nil {
			return nil
		}
		for i := range has {
			if err := missingKeyIn(fmt.Sprintf("%s[%d]", path, i), common, has[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys are the keys that all elements of a list have; nil where these are no objects.
func commonKeys(list []any) any {
	var common map[string]any
	for _, v := range list {
		m, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(m)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := m[key]; return !ok })
	}
	if common == nil {
		return nil
	}
	return common
}

// Reading is what came of reading the configuration again.
type Reading struct {
	Config *Config
	Err    error
}

// Reread reads the configuration again at each hang-up. One that can't be used changes nothing.
func Reread(ctx context.Context, path string, running *Config, hangups <-chan os.Signal) <-chan Reading {
	read := make(chan Reading)
	go func() {
		had := running.raw
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			cfg, err := ReadConfig(path)
			if err == nil {
				if err = missingKey(had, cfg.raw); err != nil {
					cfg, err = nil, fmt.Errorf("configuration %s: %w", path, err)
				} else {
					had = cfg.raw
				}
			}
			if err != nil {
				slog.Error("the old configuration stays", "err", err)
			}
			select {
			case read <- Reading{cfg, err}:
			case <-ctx.Done():
			}
		}
	}()
	return read
}

// reloadSettings swaps the settings in one step: what is decided from here on, in this batch already, is decided under the new
// ones. All else of the configuration is for the next start.
func (l *loop) reloadSettings(read *Config) {
	next := *l.cfg
	next.Settings, next.Discovery = read.Settings, read.Discovery
	next.policy = read.policy
	next.policy.Classes = policy.MergeClasses(l.cfg.policy.Classes, read.policy.Classes)
	l.cfg = &next
	for _, name := range next.classNames() {
		l.metrics.AddClass(name)
	}
	l.events = append(l.events, policy.SettingsChanged{Settings: next.policy})
	l.setValidator(next.validator())
	if l.writer != nil {
		l.writer.setClasses(next.ResendClasses(next.Own.Undelivered))
	}
}
