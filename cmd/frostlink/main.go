// Command frostlink is the relay: it accepts requests from clients, records them in a journal, and delivers them to their
// destinations' endpoints as package policy decides.
//
// It is configured by the platform's file (-config) and the operator's own (-operator), and by these variables:
//
//	NODE_CONFIG      the platform's file, where -config is absent
//	NODE_STATE       the folder that outlives the process, where -state is absent
//	NODE_LISTEN_FD   an inherited listening socket for clients
//	NODE_MANAGEMENT  the address of the admin endpoint, in place of the file's
//
// SIGTERM and SIGINT begin a graceful shutdown, SIGHUP has the platform's file read again. The exit code is 2 where the operator's file
// can't be used, and 1 for any other error.
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

const (
	// heapFraction of the memory limit is the runtime's soft limit: the journal's files count as memory too.
	heapFraction   = 0.6
	bytesPerMB     = 1 << 20
	firstInherited = 3 // descriptors below are standard input, output and error
)

func main() {
	// Before all else: a SIGHUP that is not caught ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	config := flag.String("config", os.Getenv(envConfig), "configuration `file` (default $NODE_CONFIG)")
	state := flag.String("state", os.Getenv(envState), "`folder` that outlasts the process (default $NODE_STATE)")
	operator := flag.String("operator", "", "the operator's own `file`, as deploy/frostlink.toml (default none: every section off)")
	flag.Parse()
	operatorFile, err := readOperatorFile(*operator)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitOperatorFile)
	}
	if err := run(*config, *state, operatorFile, hangups); err != nil {
		fmt.Fprintln(os.Stderr, "frostlink:", err)
		os.Exit(exitError)
	}
}

// readOperatorFile reads the operator's file, or returns one with every section off where there is none.
func readOperatorFile(path string) (*operatorconfig.File, error) {
	if path == "" {
		return operatorconfig.Off(), nil
	}
	return operatorconfig.Read(path)
}

// run runs the relay until it is asked to shut down or has handed over.
func run(configPath, state string, operatorFile *operatorconfig.File, hangups <-chan os.Signal) error {
	if state == "" {
		return errors.New("no folder for the journal: set NODE_STATE or -state")
	}
	config, err := readConfig(configPath, operatorFile)
	if err != nil {
		return err
	}
	limitRuntime(config)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return relay.Run(ctx, config, state, relay.WatchReloads(ctx, configPath, config, hangups))
}

// limitRuntime holds the Go runtime to the platform's limits on cores and memory.
func limitRuntime(config *relay.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapFraction * config.Limits.MemoryMB * bytesPerMB))
}

// readConfig reads the platform's file, and adds what the environment alone tells a process.
func readConfig(path string, operatorFile *operatorconfig.File) (*relay.Config, error) {
	config, err := relay.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	config.OperatorFile = operatorFile
	if fd := os.Getenv(envListenFD); fd != "" {
		if config.ListenFD, err = strconv.Atoi(fd); err != nil || config.ListenFD < firstInherited {
			return nil, fmt.Errorf("NODE_LISTEN_FD: %q is no descriptor that can be inherited", fd)
		}
	}
	// The environment goes before the file, which may be that of the process whose place this one takes.
	if address := os.Getenv(envManagement); address != "" {
		config.AdminAddress = address
	}
	return config, nil
}
