package stage

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// Coordination is the coordination service.
type Coordination struct {
	Cluster string
	Members []*Process
	Addrs   []string
	stage   *Stage
}

// StartCoordination starts a coordination service of three members, and waits until one leads.
func (s *Stage) StartCoordination() *Coordination {
	c := &Coordination{Cluster: "lahore", stage: s, Addrs: []string{s.FreeAddress(), s.FreeAddress(), s.FreeAddress()}}
	for i := range c.Addrs {
		folder := filepath.Join(s.Dir, fmt.Sprintf("coord-%d", i+1))
		args := append([]string{"init", "--folder", folder, "--cluster", c.Cluster, "--id", fmt.Sprint(i + 1)}, c.memberFlags()...)
		if output, code := s.Output("bin/frostlink-coord", args...); code != 0 {
			s.Fail("frostlink-coord init: %s", output)
		}
		c.Members = append(c.Members, s.startShell(fmt.Sprintf("coord-%d", i+1), "exec bin/frostlink-coord run --folder "+folder, nil))
	}
	s.WaitFor("a member leads", 15*time.Second, func() bool {
		output, code := s.Output("bin/frostlinkctl", append([]string{"coord", "status", "--cluster", c.Cluster}, c.memberFlags()...)...)
		return code == 0 && strings.Contains(output, "leader")
	})
	s.Record("the coordination service has a leader")
	return c
}

// memberFlags returns the flags that name the members.
func (c *Coordination) memberFlags() (flags []string) {
	for i, addr := range c.Addrs {
		flags = append(flags, "--member", fmt.Sprintf("%d=%s", i+1, addr))
	}
	return flags
}

// Ctl runs a command of frostlinkctl on the service.
func (c *Coordination) Ctl(command ...string) (output string, code int) {
	return c.stage.Output("bin/frostlinkctl", append(append(command, "--cluster", c.Cluster), c.memberFlags()...)...)
}

// Section returns the section [coordination] of an operator's file, in which the members have the given addresses.
func (c *Coordination) Section(ttlMs int, addrs []string) string {
	var members []string
	for i, addr := range addrs {
		members = append(members, fmt.Sprintf("%q", fmt.Sprintf("%d=%s", i+1, addr)))
	}
	return fmt.Sprintf("[coordination]\ncluster = %q\nmembers = [%s]\nttl_ms = %d\n", c.Cluster, strings.Join(members, ", "), ttlMs)
}
