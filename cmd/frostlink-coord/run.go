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
	"frostlink/internal/logkey"
)

const (
	// headerTimeout is the maximum time for receiving a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection without a request stays open.
	idleTimeout = time.Minute
)

// The log attribute keys that only the coordination service uses.
const (
	keyCluster = "cluster"
	keyMember  = "member"
)

// runOptions are the flags of run.
type runOptions struct {
	folder string
	listen string
	reach  []string // each as ID=HOST:PORT
}

func runCommand() *cobra.Command {
	var o runOptions
	c := &cobra.Command{
		Use:   "run",
		Short: "Run a member",
		Long: "Run a member until SIGTERM. The member listens on the address stored in its folder. It has no authentication and no TLS: anyone\n" +
			"who can reach it can take every lease. Therefore the member logs a warning if it listens on an address that is not loopback.",
		Example: "  frostlink-coord run --folder coord-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.run(c.Context(), slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil)))
		},
	}
	f := c.Flags()
	f.StringVar(&o.folder, "folder", "", "`folder` of this member's data")
	f.StringVar(&o.listen, "listen", "", "`address` to listen on, if it differs from the member's address")
	f.StringArrayVar(&o.reach, "reach", nil, "the address at which this member reaches another member, as `ID=HOST:PORT`, if it differs from that member's own address")
	_ = c.MarkFlagRequired("folder") // fails only for a flag that does not exist
	return c
}

func (o *runOptions) run(ctx context.Context, log *slog.Logger) error {
	addressOverrides, err := o.addressOverrides()
	if err != nil {
		return err
	}
	// Without this, a write beyond the file size limit would end the process instead of returning an
	// error.
	signal.Ignore(syscall.SIGXFSZ)
	node, err := server.New(o.folder, addressOverrides, log)
	if err != nil {
		return err
	}
	address := o.listen
	if address == "" {
		address = node.Identity().Address
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err //nolint:wrapcheck // the error names the address, and is printed as it is
	}
	if err := serve(ctx, node, listener, log); err != nil {
		return fmt.Errorf("member %d: %w", node.Identity().ID, err)
	}
	return nil
}

// addressOverrides returns the addresses of --reach, by member id.
func (o *runOptions) addressOverrides() (map[uint64]string, error) {
	overrides := map[uint64]string{}
	for _, text := range o.reach {
		m, err := api.ParseMember(text)
		if err != nil {
			return nil, fmt.Errorf("--reach: %w", err)
		}
		overrides[m.ID] = m.Address
	}
	return overrides, nil
}

// serve runs a node and serves its HTTP interface until the context ends or the node fails.
func serve(ctx context.Context, node *server.Node, listener net.Listener, log *slog.Logger) error {
	address := listener.Addr().String()
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok && !tcp.IP.IsLoopback() {
		log.Warn("listening on a non-loopback address without authentication; anyone who can reach it can take every lease", logkey.Address, address)
	}
	// There is no write timeout, because a call that waits for a change of its session's leases lasts
	// long. The handlers limit the time of all other calls.
	srv := &http.Server{
		Handler: node.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(listener) }()
	id := node.Identity()
	log.Info("member of the coordination service started", keyCluster, id.Cluster, keyMember, id.ID, logkey.Address, address)
	err := node.Run(ctx)
	_ = srv.Close()
	if serveErr := <-served; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
		err = serveErr
	}
	return err
}
