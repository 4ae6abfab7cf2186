package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"frostlink/internal/admin"
	"frostlink/internal/fleettask"
	front "frostlink/internal/frontend/http1"
	"frostlink/internal/handover"
	"frostlink/internal/invariant"
	"frostlink/internal/servingmode"
	"frostlink/policy"
)

// errSuccessorDied says that the process which took over has died before this one was to end: this one is to run again,
// from the journal.
var errSuccessorDied = errors.New("the successor has died")

// node is one process's relay with all its parts.
type node struct {
	cfg               *Config
	dir               string         // that outlasts the process
	configuredClasses []policy.Class // as the configuration has them
	discovery         string         // the address of the discovery in use
	mode              *servingmode.Mode
	metrics           *admin.Metrics
	violations        *invariant.Counts
	admin             *adminEndpoint
	fleet             *fleettask.Fleet // its part of the fleet's tasks; nil: it has none
	stopTasks         func()           // releases the leases it holds for them; nil: it has none
	shutdownRequested context.Context  // ends when the platform tells the process to end
	running           context.Context  // ends when this process is to do nothing more
	stop              context.CancelFunc
	goroutines        sync.WaitGroup // all that end with running
	serveErr          chan error     // what came of serving clients

	predecessor *handoverState // what it handed over; nil: there was none
	loop        *loop
	frontend    *front.Server
	listener    net.Listener
	quiesced    *quiescedNode // nil: it is not
}

// Run runs a relay until ctx ends, and then shuts it down gracefully: it goes on serving for as long as clients may still
// come, and leaves what is not delivered by then to the journal in dir. Where another process runs on that folder, it takes
// over from that one, and it hands over to one that comes later. Configurations that come from reread change its settings
// and move it to another discovery; all else in them is for the next start.
func Run(ctx context.Context, cfg *Config, dir string, reread <-chan Reload) error {
	if err := cfg.validateOperatorFile(); err != nil {
		return err
	}
	mode, metrics, violations := &servingmode.Mode{}, admin.NewMetrics(cfg.classNames()), &invariant.Counts{}
	endpoint, err := openAdminEndpoint(cfg, mode, metrics, violations) //nolint:contextcheck // it outlives ctx: operators are answered until the end
	if err != nil {
		return err
	}
	defer endpoint.close() //nolint:contextcheck // ctx has ended by then
	for {
		n := &node{
			cfg: cfg, dir: dir, configuredClasses: cfg.policy.Classes, mode: mode, metrics: metrics, violations: violations, admin: endpoint,
			serveErr: make(chan error, 1),
		}
		if err := n.run(ctx, reread); !errors.Is(err, errSuccessorDied) {
			return err
		}
		cfg = n.loop.cfg // with the settings in force
	}
}

// run runs a relay to its end, or until it was handed over.
func (n *node) run(ctx context.Context, reread <-chan Reload) error {
	n.shutdownRequested = ctx
	n.running, n.stop = context.WithCancel(context.WithoutCancel(ctx)) // a shutdown goes on for a while after ctx has ended
	defer n.stop()
	owner, err := handover.Acquire(ctx, n.dir, n)
	if ctx.Err() != nil && n.loop == nil {
		return nil // told to end before it had anything
	}
	if err != nil {
		return err
	}
	defer owner.Release()
	n.admin.startServing(n.frontend)
	ownership := make(chan handover.Outcome, 1)
	go func() { ownership <- owner.Serve(ctx.Done(), n) }() //nolint:contextcheck // a hand-over that has begun goes on when ctx ends
	n.discovery = n.cfg.Discovery
	for {
		select {
		case err := <-n.serveErr:
			if err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			n.serveErr = nil // the listener was closed by this process
		case r := <-reread:
			n.reload(r)
		case outcome := <-ownership:
			return n.end(context.WithoutCancel(ctx), outcome)
		}
	}
}

// end ends the process's relay, as its ownership of the folder came to its end.
func (n *node) end(ctx context.Context, outcome handover.Outcome) error {
	n.admin.serving.Store(false)
	switch outcome {
	case handover.SuccessorDied:
		return errSuccessorDied
	case handover.HandedOver:
		n.flushResponses(ctx)
		return nil
	case handover.StopRequested:
	}
	n.drain(ctx)
	n.stop()
	n.goroutines.Wait()
	return n.loop.journal.Close()
}
