// Command frostlink is the relay: it accepts requests from clients, records them in a journal, and delivers them to their
// destinations' endpoints as package policy decides.
//
// It is configured by the platform's file (-config), the operator's file (-operator) and these environment variables:
//
//	NODE_CONFIG      the path of the platform's file, if -config is not given
//	NODE_STATE       the folder for data that outlives the process, if -state is not given
//	NODE_LISTEN_FD   the file descriptor of an inherited listening socket for clients
//	NODE_MANAGEMENT  the address of the admin endpoint; overrides the platform's file
//
// SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the platform's file. The exit code is 2 if the operator's file is invalid,
// and 1 for any other error.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"frostlink/internal/operatorconfig"
	"frostlink/internal/relay"
)

const (
	envConfig     = "NODE_CONFIG"
	envState      = "NODE_STATE"
	envListenFD   = "NODE_LISTEN_FD"
	envManagement = "NODE_MANAGEMENT"
)

const (
	exitError        = 1
	exitOperatorFile = 2
)

// firstInherited is the lowest file descriptor that can be inherited: lower ones are standard input, output and error.
const firstInherited = 3

func main() {
	// This has to come first, because a SIGHUP that is not caught ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	config := flag.String("config", os.Getenv(envConfig), "configuration `file` (default $NODE_CONFIG)")
	state := flag.String("state", os.Getenv(envState), "`folder` for data that outlives the process (default $NODE_STATE)")
	operator := flag.String("operator", "", "the operator's `file`, such as deploy/frostlink.toml (default none: every section is off)")
	flag.Parse()
	operatorFile, err := readOperatorFile(*operator)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitOperatorFile)
	}
	if err := run(*config, *operator, *state, operatorFile, hangups); err != nil {
		fmt.Fprintln(os.Stderr, "frostlink:", err)
		os.Exit(exitError)
	}
}

// readOperatorFile reads the operator's file. Without a path it returns a file in which every section is off.
func readOperatorFile(path string) (*operatorconfig.File, error) {
	if path == "" {
		return operatorconfig.Off(), nil
	}
	return operatorconfig.Read(path)
}

// run runs the relay until it is asked to shut down or has handed over to a successor.
func run(configPath, operatorPath, state string, operatorFile *operatorconfig.File, hangups <-chan os.Signal) error {
	if state == "" {
		return errors.New("no folder for the journal: set NODE_STATE or -state")
	}
	config, err := readConfig(configPath, operatorFile)
	if err != nil {
		return err
	}
	config.OperatorPath = operatorPath
	limitRuntime(config)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return relay.Run(ctx, config, state, relay.WatchReloads(ctx, configPath, config, hangups))
}

// limitRuntime applies the platform's limits on cores and memory to the Go runtime.
func limitRuntime(config *relay.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	debug.SetMemoryLimit(config.HeapLimit())
}

// readConfig reads the platform's file, and adds the operator's file and the settings from environment variables.
func readConfig(path string, operatorFile *operatorconfig.File) (*relay.Config, error) {
	config, err := relay.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	config.OperatorFile = operatorFile
	if fd := os.Getenv(envListenFD); fd != "" {
		if config.ListenFD, err = strconv.Atoi(fd); err != nil || config.ListenFD < firstInherited {
			return nil, fmt.Errorf("NODE_LISTEN_FD: %q is not a file descriptor of 3 or above", fd)
		}
	}
	// The environment overrides the file, because a successor may be started with its predecessor's file.
	if address := os.Getenv(envManagement); address != "" {
		config.AdminAddress = address
	}
	return config, nil
}
