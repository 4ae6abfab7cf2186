// Command frostlink is a relay on sockets: it takes messages from clients, holds them in a journal, and
// delivers them to their destinations' hosts as package policy decides.
package main

import (
	"context"
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

// heapShare of the memory limit is the runtime's soft limit: the journal's files count as memory too.
const heapShare = 0.6

func main() {
	// Before all else: a hang-up that is not caught ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	config := flag.String("config", os.Getenv("NODE_CONFIG"), "configuration `file` (default $NODE_CONFIG)")
	state := flag.String("state", os.Getenv("NODE_STATE"), "`folder` that outlasts the process (default $NODE_STATE)")
	own := flag.String("operator", "", "the operator's own `file`, as deploy/frostlink.toml (default none: every section off)")
	flag.Parse()
	sections := operatorconfig.Off()
	if *own != "" {
		var err error
		if sections, err = operatorconfig.Read(*own); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	if err := run(*config, *state, sections, hangups); err != nil {
		fmt.Fprintln(os.Stderr, "frostlink:", err)
		os.Exit(1)
	}
}

func run(config, state string, own *operatorconfig.File, hangups <-chan os.Signal) error {
	if state == "" {
		return fmt.Errorf("no folder for the journal: set NODE_STATE or -state")
	}
	cfg, err := configure(config, own)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * cfg.Limits.MemoryMB * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return relay.Run(ctx, cfg, state, relay.Reread(ctx, config, cfg, hangups))
}

// configure reads the configuration, with what the environment alone tells a process.
func configure(config string, own *operatorconfig.File) (*relay.Config, error) {
	cfg, err := relay.ReadConfig(config)
	if err != nil {
		return nil, err
	}
	cfg.Own = own
	if fd := os.Getenv("NODE_LISTEN_FD"); fd != "" {
		if cfg.ListenFD, err = strconv.Atoi(fd); err != nil || cfg.ListenFD < 3 {
			return nil, fmt.Errorf("NODE_LISTEN_FD: %q is no descriptor that can be inherited", fd)
		}
	}
	// A process's own address comes first: the file may be that of the process which takes its place.
	if at := os.Getenv("NODE_MANAGEMENT"); at != "" {
		cfg.Management = at
	}
	return cfg, nil
}
