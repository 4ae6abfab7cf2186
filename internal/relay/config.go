// Package relay runs the decisions of package policy as a relay on sockets: clients hand messages in over
// HTTP, hosts get them over HTTP, and what was taken on outlasts the process in a journal.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"mallowlead/internal/clients"
	"mallowlead/internal/discovery"
	"mallowlead/internal/operator"
	"mallowlead/internal/settings"
	"mallowlead/internal/undelivered"
	"mallowlead/policy"
)

// Config is what the platform tells a relay in its configuration file.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hexadecimal
	// Management is where the operators' door listens; empty: there is none.
	Management string            `json:"management"`
	Limits     Limits            `json:"limits"`
	Known      discovery.Members `json:"known"`
	Settings   settings.Settings `json:"settings"`

	// ListenFD is the descriptor of a clients' socket that the platform holds and every process inherits; 0: none.
	ListenFD int `json:"-"`

	// Own is the operator's own file; nil stands for one in which every section is off.
	Own *operator.File `json:"-"`

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

// Every descriptor has its owner, so that none runs short because another has much to do: ownDescriptors are
// for the listener, the journal and its next file, the watch, posts of notices, a configuration that is read
// again, standard streams and the runtime; clients get clientShare of the rest, and hosts what is left.
const (
	ownDescriptors = 24
	clientShare    = 0.55
	// clientsPerMB bounds clients' connections by the memory too: one takes about 16 KiB.
	clientsPerMB = 12
	// clientIdleShare of the descriptors may be clients' idle connections: far less than the third that clients may
	// hold for requests, and enough to keep one for each request at once of the busiest days.
	clientIdleShare = 1.0 / 8
	// doorShare of the descriptors, and doorLeast at least, are for operators' calls: enough for those who say nothing
	// beside those who ask.
	doorShare, doorLeast = 1.0 / 24, 8
)

// doorRoom is how many connections operators may have, and own how many descriptors belong neither to clients nor hosts.
func (c *Config) doorRoom() int {
	if c.Management == "" {
		return 0
	}
	return max(doorLeast, int(doorShare*float64(c.Limits.Sockets)))
}

func (c *Config) own() int { return ownDescriptors + c.doorRoom() }

// clientRoom is how many connections clients may have.
func (c *Config) clientRoom() int {
	return max(1, min(int(clientShare*float64(c.Limits.Sockets-c.own())), int(clientsPerMB*c.Limits.MemoryMB)))
}

// idleRoom is how many of their connections clients may keep without a request.
func (c *Config) idleRoom() int { return max(1, int(clientIdleShare*float64(c.Limits.Sockets))) }

// hostRoom is how many connections there may be to hosts, idle or with a call out.
func (c *Config) hostRoom() int { return max(1, c.Limits.Sockets-c.own()-c.clientRoom()) }

// longest is the longest that a message of any class lives.
func (c *Config) longest() time.Duration {
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

// clientCheck is the check of what clients hand in.
func (c *Config) clientCheck() *clients.Check {
	check := &clients.Check{Classes: map[string]*policy.Class{}, Tenants: map[string]bool{}, Subjects: map[string]*undelivered.Subject{}}
	for i := range c.policy.Classes {
		check.Classes[c.policy.Classes[i].Name] = &c.policy.Classes[i]
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
	c.policy.Slots = min(c.policy.Slots, c.hostRoom()) // a call needs a connection
	_, err = policy.New(c.policy, c.seed)              // its own check of the settings
	return err
}

// Reading is what came of reading the configuration again.
type Reading struct {
	Config *Config
	Err    error
}

// Reread reads the configuration again at each hang-up. One that can't be used changes nothing.
func Reread(ctx context.Context, path string, hangups <-chan os.Signal) <-chan Reading {
	read := make(chan Reading)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			cfg, err := ReadConfig(path)
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
