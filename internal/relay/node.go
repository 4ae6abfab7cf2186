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

// errSuccessorDied says that the successor died before this process had ended, so that this process must run the relay
// again, from the journal.
var errSuccessorDied = errors.New("successor process died after the hand-over")

// node is the relay of one process with all its parts.
type node struct {
	cfg               *Config
	dir               string         // the folder, which outlasts the process
	configuredClasses []policy.Class // the classes of the configuration, without those of a predecessor
	discovery         string         // the address of the discovery service in use
	mode              *servingmode.Mode
	metrics           *admin.Metrics
	violations        *invariant.Counts
	admin             *adminEndpoint
	fleet             *fleettask.Fleet // runs the fleet tasks; nil: the relay takes no part in them
	stopTasks         func()           // stops the fleet tasks and releases their leases; nil: there are none
	shutdownRequested context.Context  // ends when the platform signals the process to end
	running           context.Context  // ends when all parts of this process must stop
	stop              context.CancelFunc
	goroutines        sync.WaitGroup // the goroutines that stop when running ends
	serveErr          chan error     // the result of frontend.Serve

	predecessor *handoverState // the state that a predecessor handed over; nil: none
	loop        *loop
	deadLetters *deadLetterLink // one of the loop's subsystems
	frontend    *front.Server
	listener    net.Listener
	quiesced    *quiescedNode // nil unless the relay is quiesced
}

// Run runs a relay until ctx ends, and then shuts it down gracefully: the relay serves for as long as clients may still
// connect, and leaves requests that are not delivered by then in the journal in dir. If another process runs a relay on that
// folder, Run takes over from it; a process that starts later takes over from this one. Configurations from reread replace
// the settings and the address of the discovery service; their other parts take effect at the next start.
func Run(ctx context.Context, cfg *Config, dir string, reread <-chan Reload) error {
	mode, metrics, violations := &servingmode.Mode{}, admin.NewMetrics(cfg.classNames()), &invariant.Counts{}
	endpoint, err := openAdminEndpoint(cfg, mode, metrics, violations) //nolint:contextcheck // the admin endpoint outlives ctx: it answers operators until the process ends
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
		cfg = n.loop.cfg // the configuration with the settings in force
	}
}

// run runs the relay until it is shut down or handed over.
func (n *node) run(ctx context.Context, reread <-chan Reload) error {
	n.shutdownRequested = ctx
	n.running, n.stop = context.WithCancel(context.WithoutCancel(ctx)) // a graceful shutdown takes a while after ctx has ended
	defer n.stop()
	owner, err := handover.Acquire(ctx, n.dir, n)
	if ctx.Err() != nil && n.loop == nil {
		return nil // shut down before the relay was assembled
	}
	if err != nil {
		return err
	}
	defer owner.Release()
	n.admin.serves.Store(n)
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
			n.serveErr = nil // this process closed the listener
		case r := <-reread:
			n.reload(r)
		case outcome := <-ownership:
			return n.end(context.WithoutCancel(ctx), outcome)
		}
	}
}

// end ends the relay of this process after its ownership of the folder has ended with outcome.
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
