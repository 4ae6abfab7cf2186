package main

import (
	"strings"
	"testing"

	"frostlink/internal/cli"
)

// deprecatedWords lists deprecated command names with their replacements, and arguments with which the commands end without starting a
// process.
var deprecatedWords = []struct {
	old, new string
	calls    []string
}{
	{"rehearse", "scenario", []string{
		"", "x", "--no-flag", "list", "list --json", "list no-folder", "check quiet short", "check quiet --json", "check --help", "run", "run --no-flag",
		"run no-scenario", "repeat quiet --runs 1", "soak --relays no-relay", "clock-steps scenarios/quiet.toml --relays no-relay",
	}},
	{"coord rehearse", "coord fault-run", []string{
		"x", "--no-flag", "--help", "--runs 0", "--relays 1", "--members 2", "--beside 17", "--ttl 1ms",
	}},
}

// A command under its deprecated name behaves as under its new name, apart from a deprecation warning on standard error.
func TestDeprecatedCommands_WorkAsTheirReplacements(t *testing.T) {
	t.Chdir("../..")
	for _, words := range deprecatedWords {
		// The examples use the new name under both names; the texts that cobra derives from the name differ.
		named := strings.NewReplacer("frostlinkctl "+words.new, "COMMAND", "frostlinkctl "+words.old, "COMMAND",
			"help for "+lastWord(words.new), "HELP", "help for "+lastWord(words.old), "HELP")
		for _, args := range words.calls {
			t.Run(words.old+" "+args, func(t *testing.T) {
				wantCode, wantOut, wantErrs := runTool(t, "", strings.Fields(words.new+" "+args)...)
				code, out, errs := runTool(t, "", strings.Fields(words.old+" "+args)...)
				if code != wantCode || named.Replace(out) != named.Replace(wantOut) {
					t.Errorf("exit %d, stdout %q, want exit %d, %q", code, out, wantCode, wantOut)
				}
				warning := "frostlinkctl " + words.old + " is deprecated, use frostlinkctl " + words.new + "\n"
				rest, warned := strings.CutPrefix(errs, warning)
				if !warned || named.Replace(rest) != named.Replace(wantErrs) {
					t.Errorf("stderr %q, want %q", errs, warning+wantErrs)
				}
			})
		}
	}
}

func TestDeprecatedCommands_AreNotInHelp(t *testing.T) {
	for _, words := range deprecatedWords {
		group, newWord, found := strings.Cut(words.new, " ")
		_, oldWord, _ := strings.Cut(words.old, " ")
		if !found {
			group, newWord, oldWord = "", words.new, words.old
		}
		code, out, errs := runTool(t, "", append(strings.Fields(group), "--help")...)
		if code != cli.ExitOK || errs != "" {
			t.Errorf("help of %q: exit %d, stderr %q", group, code, errs)
		}
		if !strings.Contains(out, "\n  "+newWord+" ") || strings.Contains(out, "\n  "+oldWord+" ") {
			t.Errorf("help must list %q, and not its deprecated name:\n%s", newWord, out)
		}
	}
}

func lastWord(words string) string { return words[strings.LastIndex(words, " ")+1:] }
