package peers

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"time"

	"mallowlead/internal/wait"
)

const (
	// look is between looks at what there is to say, and listenAgain the pause before the address is tried again: the
	// process before may still have it.
	look, listenAgain = 50 * time.Millisecond, 50 * time.Millisecond
)

// Config says where the relays are.
type Config struct {
	Name   string
	Relays int      // that share the traffic
	Listen string   // where notes come in
	To     []string // where they go
}

// Run says what state gives, and tells how many relays take clients now and did before each time that it changes, until
// ctx ends.
func Run(ctx context.Context, c Config, state func() State, present func(now, before int)) {
	var own net.PacketConn
	for said := false; own == nil; {
		var err error
		if own, err = net.ListenPacket("udp", c.Listen); err != nil {
			if !said {
				said = true
				slog.Info("notes of other relays are not heard yet", "err", err)
			}
			if !wait.For(ctx, listenAgain) {
				return
			}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = own.Close() })
	defer stop()
	defer own.Close()
	var to []net.Addr
	for _, at := range c.To {
		addr, err := net.ResolveUDPAddr("udp", at)
		if err != nil || at == c.Listen {
			slog.Debug("no address for notes", "at", at, "err", err)
			continue
		}
		to = append(to, addr)
	}
	notes := make(chan Note)
	go hear(ctx, own, notes)
	table, speaker, last := NewTable(c.Name, c.Relays), NewSpeaker(c.Name), c.Relays
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-notes:
			table.Hear(time.Now(), n)
		case <-time.After(look):
		}
		now := time.Now()
		if n, _ := speaker.Say(now, state()); n != nil {
			for _, addr := range to {
				if _, err := own.WriteTo(n.Encode(), addr); err != nil {
					slog.Debug("note not sent", "to", addr, "err", err)
				}
			}
		}
		if n := table.Present(now); n != last {
			slog.Info("relays that take clients", "now", n, "before", last)
			present(n, last)
			last = n
		}
	}
}

// hear reads notes until the socket is closed.
func hear(ctx context.Context, own net.PacketConn, to chan<- Note) {
	buf := make([]byte, MostNote+1)
	for {
		size, from, err := own.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !wait.For(ctx, look) {
				return
			}
			continue
		}
		n, err := Decode(slices.Clone(buf[:size]))
		if err != nil {
			slog.Debug("not a note", "from", from, "err", err)
			continue
		}
		select {
		case to <- n:
		case <-ctx.Done():
			return
		}
	}
}
