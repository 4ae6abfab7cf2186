package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// replacementKey is the key of the annotation that names the replacement of a deprecated command.
const replacementKey = "replacement"

// deprecatedAlias turns a command into an alias under its old name. The alias is hidden from help, and otherwise works like the command
// under its new name.
func deprecatedAlias(c *cobra.Command, oldName string) *cobra.Command {
	newName := c.Name()
	c.Use = oldName + strings.TrimPrefix(c.Use, newName)
	c.Hidden = true
	c.Annotations = map[string]string{replacementKey: newName}
	return c
}

// warnDeprecated prints a one-line warning if the arguments name a deprecated command or a subcommand of one. cobra's own deprecation
// notice can't be used, because it goes to standard output, where scripts read results.
func warnDeprecated(root *cobra.Command, args []string, errs io.Writer) {
	c, _, err := root.Find(args)
	if err != nil {
		return // running the command reports the error
	}
	for ; c.HasParent(); c = c.Parent() {
		if newName, ok := c.Annotations[replacementKey]; ok {
			fmt.Fprintf(errs, "%s is deprecated, use %s %s\n", c.CommandPath(), c.Parent().CommandPath(), newName)
			return
		}
	}
}
