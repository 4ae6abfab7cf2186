package relay

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	front "mallowlead/internal/clients/http1"
	"mallowlead/internal/management"
	"mallowlead/internal/standby"
)

// listen gives the clients' listening socket: the one that the platform holds and hands to every process, or one of our
// own. Closing it ends this process's hold alone.
func listen(cfg *Config) (net.Listener, error) {
	if cfg.ListenFD <= 0 {
		return net.Listen("tcp", cfg.Listen)
	}
	f := os.NewFile(uintptr(cfg.ListenFD), "clients' socket")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is none", cfg.ListenFD)
	}
	defer f.Close() // what follows has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", cfg.ListenFD, err)
	}
	return l, nil
}

// door is what operators reach of a relay.
type door struct {
	*management.Door
	stance *standby.Stance
	book   *management.Book
	front  *front.Server
	taking atomic.Bool // clients are taken, and no planned end has begun
	listen net.Listener
}

// openDoor opens the operators' door, where the platform names an address for it. It answers from the start on, and says no
// until clients are taken.
func openDoor(cfg *Config, l *loop, srv *front.Server) (*door, error) {
	d := &door{stance: l.stance, book: l.book, front: srv}
	if cfg.Management == "" {
		return d, nil
	}
	listener, err := net.Listen("tcp", cfg.Management)
	if err != nil {
		return nil, fmt.Errorf("the operators' door: %w", err)
	}
	d.listen = listener
	d.Door = management.New(d, cfg.doorRoom())
	go func() {
		if err := d.Serve(listener); err != nil {
			slog.Error("operators are not answered any more", "err", err)
		}
	}()
	return d, nil
}

func (d *door) close() {
	if d.Door != nil {
		d.Door.Close()
	}
}

// Takes tells whether this process takes clients.
func (d *door) Takes() bool { return d.taking.Load() }

// Standby sends clients away.
func (d *door) Standby() {
	slog.Info("standing by: clients are sent away")
	d.stance.Leave(time.Now())
	go d.front.SeeOff()
}

// Active takes clients again.
func (d *door) Active() {
	slog.Info("active: clients are taken again")
	d.stance.Return()
}

// Figures gives the figures as JSON.
func (d *door) Figures() ([]byte, error) { return d.book.JSON() }
