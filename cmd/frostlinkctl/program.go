package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// relayProgram is the file name of the relay's program.
const relayProgram = "frostlink"

// siblingProgram returns the path of a program in the same folder as this one.
func siblingProgram(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the folder of this program: %w", err)
	}
	return filepath.Join(filepath.Dir(self), name), nil
}

// relayCommand returns the command that starts a relay: the given program or, if it is empty, the relay program in the same folder as this
// one. The path is absolute, because each relay runs in its own folder.
func relayCommand(program string) ([]string, error) {
	if program == "" {
		var err error
		if program, err = siblingProgram(relayProgram); err != nil {
			return nil, err
		}
	}
	if !isFile(program) {
		return nil, fmt.Errorf("no relay program at %s: build it there (go build -o bin/ ./cmd/...), or name one with --relays", program)
	}
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, fmt.Errorf("find the relay program: %w", err)
	}
	return []string{path}, nil
}

// isFile reports whether a path exists and is not a directory.
func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && !info.IsDir()
}
