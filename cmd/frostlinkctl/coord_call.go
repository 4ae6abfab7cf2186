package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// serviceCall is a command that calls the coordination service and prints the result, as text or with --json as JSON.
type serviceCall[T any] struct {
	service  *coordService
	call     func(c *cobra.Command, args []string) (T, error)
	print    func(out io.Writer, result T) error // prints the result; returns cli.ErrFindings if the result shows a problem
	jsonFile string
}

// newServiceCall sets a command up to run call and print its result, and adds the flag --json to it.
func newServiceCall[T any](c *cobra.Command, s *coordService, call func(c *cobra.Command, args []string) (T, error),
	print func(out io.Writer, result T) error,
) *cobra.Command {
	command := &serviceCall[T]{service: s, call: call, print: print}
	c.RunE = command.run
	addJSONFlag(c, &command.jsonFile, "the result")
	return c
}

// run runs the command. A problem that the result shows determines the exit code even if the result is not printed as text.
func (s *serviceCall[T]) run(c *cobra.Command, args []string) error {
	if err := s.service.open(); err != nil {
		return err
	}
	result, err := s.call(c, args)
	if err != nil {
		return err
	}
	var found error
	err = writeResult(c.OutOrStdout(), s.jsonFile, result, func(out io.Writer) { found = s.print(out, result) })
	return errors.Join(err, found)
}

// printMessage prints a result that is a single line.
func printMessage(out io.Writer, message string) error {
	fmt.Fprintln(out, message)
	return nil
}
