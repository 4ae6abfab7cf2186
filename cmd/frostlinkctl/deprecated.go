package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// replacementKey is the annotation of a deprecated command that holds the name of the command to use in its place.
const replacementKey = "replacement"

// deprecatedAlias returns a command under the name that it had before: hidden from help, and otherwise as it is under its new name.
func deprecatedAlias(c *cobra.Command, oldName string) *cobra.Command {
	newName := c.Name()
	c.Use = oldName + strings.TrimPrefix(c.Use, newName)
	c.Hidden = true
	c.Annotations = map[string]string{replacementKey: newName}
	return c
}

// warnDeprecated prints one line where the arguments name a deprecated command or one below it. cobra's own notice does not serve: it goes
// to standard output, where scripts read results.
func warnDeprecated(root *cobra.Command, args []string, errs io.Writer) {
	c, _, err := root.Find(args)
	if err != nil {
		return // the run itself reports it
	}
	for ; c.HasParent(); c = c.Parent() {
		if newName, ok := c.Annotations[replacementKey]; ok {
			fmt.Fprintf(errs, "%s is deprecated, use %s %s\n", c.CommandPath(), c.Parent().CommandPath(), newName)
			return
		}
	}
}
