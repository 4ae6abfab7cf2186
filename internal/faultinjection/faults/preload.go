package faults

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// preloadEnv is the variable of the dynamic linker that names libraries to load before a program starts.
const preloadEnv = "LD_PRELOAD"

// Preload returns the environment variable that has libraries loaded into a process before it starts.
func Preload(libraries ...string) string { return preloadEnv + "=" + strings.Join(libraries, ":") }

// buildLibrary compiles the source of a library that is to be preloaded, and returns its path.
func buildLibrary(dir, name string, text []byte) (string, error) {
	source, library := filepath.Join(dir, name+".c"), filepath.Join(dir, name+".so")
	if err := os.WriteFile(source, text, 0o600); err != nil {
		return "", fmt.Errorf("library %s: %w", name, err)
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", library, source).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("library %s: %w: %s", name, err, out)
	}
	return library, nil
}

// writeShared overwrites a part of a file that processes with a preloaded library have mapped. The file is neither truncated
// nor replaced: they see the change at once.
func writeShared(path string, offset int, raw []byte) (err error) {
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("open a file shared with processes: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.WriteAt(raw, int64(offset)); err != nil {
		return fmt.Errorf("write a file shared with processes: %w", err)
	}
	return nil
}
