package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord/api"
	"frostlink/internal/coord/server"
)

// headerWithin is how long a caller may take for a request's head.
const headerWithin = 5 * time.Second

func runCommand() *cobra.Command {
	var dir, listen string
	var reach []string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run a member",
		Long: "Run a member until SIGTERM. It listens where its folder says. It has no sign-in and no TLS: who can reach it can take every lease,\n" +
			"so it warns where it listens on anything but loopback.",
		Example: "  frostlink-coord run --folder coord-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			others := map[uint64]string{}
			for _, text := range reach {
				m, err := api.ParseMember(text)
				if err != nil {
					return fmt.Errorf("--reach: %w", err)
				}
				others[m.ID] = m.Address
			}
			return run(c.Context(), dir, listen, others, slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil)))
		},
	}
	f := c.Flags()
	f.StringVar(&dir, "folder", "", "`folder` of this member's data")
	f.StringVar(&listen, "listen", "", "`address` to listen on, where it is not the member's own")
	f.StringArrayVar(&reach, "reach", nil, "where this member reaches another one, as `ID=HOST:PORT`, if not at its own address")
	_ = c.MarkFlagRequired("folder")
	return c
}

func run(ctx context.Context, dir, listen string, reach map[uint64]string, log *slog.Logger) error {
	// A file that grows past a limit on its size is an error of the write, and not the process's end.
	signal.Ignore(syscall.SIGXFSZ)
	node, err := server.New(dir, reach, log)
	if err != nil {
		return err
	}
	id := node.Identity()
	if listen == "" {
		listen = id.Address
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	if a, ok := ln.Addr().(*net.TCPAddr); ok && !a.IP.IsLoopback() {
		log.Warn("listens on more than loopback, without sign-in: who can reach it can take every lease", "address", ln.Addr().String())
	}
	// Calls that wait for a hint last; everything else is bounded by its own time.
	srv := &http.Server{Handler: node.Handler(), ReadHeaderTimeout: headerWithin, IdleTimeout: time.Minute, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	log.Info("serves", "cluster", id.Cluster, "member", id.ID, "address", ln.Addr().String())
	err = node.Run(ctx)
	_ = srv.Close()
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	if err != nil {
		return fmt.Errorf("member %d: %w", id.ID, err)
	}
	return nil
}
