package main

import (
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
)

// stdout is the name of a JSON file that means standard output.
const stdout = "-"

// addJSONFlag adds the flag --json FILE of a command that prints JSON alone where the file is standard output. what is what is written.
func addJSONFlag(c *cobra.Command, file *string, what string) {
	c.Flags().StringVar(file, "json", "", "write "+what+" as JSON to this `file`; - is standard output, and nothing else then")
}

// textOutput returns where a command prints its text: nowhere where standard output is for the JSON.
func textOutput(out io.Writer, jsonFile string) io.Writer {
	if jsonFile == stdout {
		return io.Discard
	}
	return out
}

// writeJSON writes a result to the file of --json, if there is one.
func writeJSON(out io.Writer, jsonFile string, result any) error {
	if jsonFile == "" {
		return nil
	}
	return cli.WriteJSON(out, jsonFile, result)
}

// writeResult writes a result to the file of --json, if there is one, and prints it as text. It prints also where the file can't be
// written, so that the result is not lost.
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

// findings returns the error of a command that did its work, and found something wrong or not.
func findings(found bool) error {
	if found {
		return cli.ErrFindings
	}
	return nil
}
