package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// serviceCall is a command that calls the coordination service and prints what it got, as JSON where --json asks for it.
type serviceCall[T any] struct {
	service  *coordService
	call     func(c *cobra.Command, args []string) (T, error)
	print    func(out io.Writer, result T) error // returns cli.ErrFindings where the result shows that something is wrong
	jsonFile string
}

// newServiceCall makes a command run a call.
func newServiceCall[T any](c *cobra.Command, s *coordService, call func(c *cobra.Command, args []string) (T, error),
	print func(out io.Writer, result T) error,
) *cobra.Command {
	command := &serviceCall[T]{service: s, call: call, print: print}
	c.RunE = command.run
	addJSONFlag(c, &command.jsonFile, "the result")
	return c
}

// run runs the command. What the call found counts also where it is not printed.
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

// printMessage prints the result of a call that is one line.
func printMessage(out io.Writer, message string) error {
	fmt.Fprintln(out, message)
	return nil
}
