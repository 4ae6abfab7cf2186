package main

import (
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
)

// stdout is the JSON file name that means standard output.
const stdout = "-"

// addJSONFlag adds the flag --json FILE to a command. If the file is standard output, the command prints only the JSON. The parameter what
// describes the written data in the help.
func addJSONFlag(c *cobra.Command, file *string, what string) {
	c.Flags().StringVar(file, "json", "", "write "+what+" as JSON to this `file`; with -, only the JSON is printed, to standard output")
}

// textOutput returns the writer for a command's text output, which is discarded if the JSON goes to standard output.
func textOutput(out io.Writer, jsonFile string) io.Writer {
	if jsonFile == stdout {
		return io.Discard
	}
	return out
}

// writeJSON writes a result to the file of --json, if the flag is given.
func writeJSON(out io.Writer, jsonFile string, result any) error {
	if jsonFile == "" {
		return nil
	}
	return cli.WriteJSON(out, jsonFile, result)
}

// writeResult writes a result to the file of --json, if the flag is given, and prints it as text. It prints the text even if the file
// can't be written, so that the result is not lost.
func writeResult(out io.Writer, jsonFile string, result any, printText func(out io.Writer)) error {
	err := writeJSON(out, jsonFile, result)
	printText(textOutput(out, jsonFile))
	return err
}

// printResult prints a result as JSON or as text.
func printResult(out io.Writer, asJSON bool, result any, printText func(out io.Writer) error) error {
	if asJSON {
		return cli.WriteJSON(out, stdout, result)
	}
	return printText(out)
}

// findings returns the error of a command that completed: cli.ErrFindings if it found problems, otherwise nil.
func findings(found bool) error {
	if found {
		return cli.ErrFindings
	}
	return nil
}
