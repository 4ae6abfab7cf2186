package main

import (
	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

// filterFlags are the flags that select messages.
type filterFlags struct {
	class, tenant   string
	destination     int
	reason, state   string
	mayHaveExecuted bool
}

func (f *filterFlags) add(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&f.class, "class", "", "only messages of this class")
	flags.StringVar(&f.tenant, "tenant", "", "only messages of this tenant")
	flags.IntVar(&f.destination, "partner", 0, "only messages to the partner with this number")
	flags.StringVar(&f.reason, "reason", "", "only messages given up for this reason")
	flags.StringVar(&f.state, "state", "", "only messages in this state")
	flags.BoolVar(&f.mayHaveExecuted, "may-have-run", false, "only messages that may have run (=false: only messages that can't have run)")
}

// filter returns the filter that the flags describe. Flags that are not given do not restrict it.
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
