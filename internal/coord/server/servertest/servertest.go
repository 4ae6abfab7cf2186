// Package servertest runs members of the coordination service in the test process, on real sockets
// and disks.
package servertest

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/coord/disk"
	"frostlink/internal/coord/replica"
	"frostlink/internal/coord/server"
)

const (
	// Name is the cluster's name.
	Name = "c"
	// Timeout bounds operations that take at most a second on an idle machine.
	Timeout = 30 * time.Second
	// size is the number of members.
	size = 3
	// statusTimeout bounds a call for a member's status.
	statusTimeout = time.Second
	// pollInterval is the pause between two checks of Eventually.
	pollInterval = 10 * time.Millisecond
)

// Cluster is a cluster of three members.
type Cluster struct {
	Members []coord.Member
	Caller  *api.Caller
	t       *testing.T
	dir     string
	stops   map[uint64]func() // stop functions by member id
}

// New starts three members, and stops them when the test ends.
func New(t *testing.T) *Cluster {
	t.Helper()
	c := &Cluster{t: t, dir: t.TempDir(), Caller: api.NewCaller(Name), stops: map[uint64]func(){}}
	listeners := map[uint64]net.Listener{}
	for id := uint64(1); id <= size; id++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[id] = ln
		c.Members = append(c.Members, coord.Member{ID: id, Address: ln.Addr().String()})
	}
	for _, m := range c.Members {
		if err := disk.Create(c.folder(m.ID), disk.Identity{Cluster: Name, ID: m.ID, Address: m.Address}, replica.Bootstrap(Name, c.Members)); err != nil {
			t.Fatal(err)
		}
		c.Start(m.ID, listeners[m.ID])
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
	})
	return c
}

func (c *Cluster) folder(id uint64) string { return filepath.Join(c.dir, fmt.Sprint(id)) }

// Start starts a member. If ln is nil, the member listens on its previous address.
func (c *Cluster) Start(id uint64, ln net.Listener) {
	c.t.Helper()
	var err error
	if ln == nil {
		if ln, err = net.Listen("tcp", c.Members[id-1].Address); err != nil {
			c.t.Fatal(err)
		}
	}
	node, err := server.New(c.folder(id), nil, slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	srv := &http.Server{Handler: node.Handler()}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { _ = srv.Serve(ln) })
	work.Go(func() {
		if err := node.Run(ctx); err != nil {
			c.t.Errorf("member %d: %v", id, err)
		}
		_ = srv.Close()
	})
	c.stops[id] = sync.OnceFunc(func() { stop(); work.Wait() })
}

// CallLeader sends a request to the leader.
func (c *Cluster) CallLeader(path string, r api.Request) (api.Response, error) {
	ctx, stop := context.WithTimeout(context.Background(), Timeout)
	defer stop()
	return c.Caller.CallLeader(ctx, c.Members, path, r)
}

// Eventually waits until a condition holds, and fails the test if it does not hold within Timeout.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", Timeout, what)
		}
	}
}

// Leader returns the id of the first member that reports that it is the leader, or 0.
func (c *Cluster) Leader() uint64 {
	for _, m := range c.Members {
		ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
		s, err := c.Caller.Status(ctx, m.Address)
		stop()
		if err == nil && s.Member.Role == coord.RoleLeader {
			return m.ID
		}
	}
	return 0
}

// Stop stops a member, and waits until it has stopped.
func (c *Cluster) Stop(id uint64) { c.stops[id]() }
