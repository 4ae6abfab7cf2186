package faults

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// preloadEnv is the environment variable that names the libraries which the dynamic linker loads before a program starts.
const preloadEnv = "LD_PRELOAD"

// Preload returns the environment variable, as NAME=VALUE, that makes the dynamic linker load libraries into a process before its
// program starts.
func Preload(libraries ...string) string { return preloadEnv + "=" + strings.Join(libraries, ":") }

// buildLibrary compiles the C source of a library to be preloaded, and returns the library's path.
func buildLibrary(dir, name string, text []byte) (string, error) {
	source, library := filepath.Join(dir, name+".c"), filepath.Join(dir, name+".so")
	if err := os.WriteFile(source, text, 0o600); err != nil {
		return "", fmt.Errorf("write the source of library %s: %w", name, err)
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", library, source).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("compile library %s: %w: %s", name, err, out)
	}
	return library, nil
}

// writeShared overwrites a part of a file that preloaded libraries have mapped into their processes. It neither truncates nor replaces
// the file, so that the mappings stay valid and the processes see the change at once.
func writeShared(path string, offset int, raw []byte) (err error) {
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("open a file shared with preloaded libraries: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.WriteAt(raw, int64(offset)); err != nil {
		return fmt.Errorf("write a file shared with preloaded libraries: %w", err)
	}
	return nil
}
