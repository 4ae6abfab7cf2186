package main

import (
	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

// filterFlags are the flags of commands on some of the messages.
type filterFlags struct {
	class, tenant   string
	destination     int
	reason, state   string
	mayHaveExecuted bool
}

func (f *filterFlags) add(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&f.class, "class", "", "only this class")
	flags.StringVar(&f.tenant, "tenant", "", "only this tenant")
	flags.IntVar(&f.destination, "partner", 0, "only this partner's number")
	flags.StringVar(&f.reason, "reason", "", "only this reason")
	flags.StringVar(&f.state, "state", "", "only this state")
	flags.BoolVar(&f.mayHaveExecuted, "may-have-run", false, "only those that may have run (=false: only those that can't)")
}

// filter returns what the flags mean. A flag that is not given matches anything.
func (f *filterFlags) filter(c *cobra.Command) *deadletter.Filter {
	filter := &deadletter.Filter{Class: f.class, Tenant: f.tenant, Reason: deadletter.Reason(f.reason), State: deadletter.State(f.state)}
	if c.Flags().Changed("partner") {
		filter.Destination = &f.destination
	}
	if c.Flags().Changed("may-have-run") {
		filter.MayHaveExecuted = &f.mayHaveExecuted
	}
	return filter
}
