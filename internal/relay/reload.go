package relay

import (
	"context"
	"log/slog"
	"os"

	"frostlink/internal/logkey"
	"frostlink/policy"
)

// Reload is the result of reading the configuration again.
type Reload struct {
	Config *Config // nil if the file can't be used
	Err    error
}

// WatchReloads reads the configuration again at each hang-up signal, until ctx ends, and sends the results on the channel that
// it returns. A configuration that can't be used changes nothing.
func WatchReloads(ctx context.Context, path string, running *Config, hangups <-chan os.Signal) <-chan Reload {
	readings := make(chan Reload)
	go func() {
		inForce := running.raw
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			cfg, err := rereadConfig(path, inForce)
			if err != nil {
				slog.Error("configuration reload failed: the running configuration stays in force", logkey.Err, err)
			} else {
				inForce = cfg.raw
			}
			select {
			case readings <- Reload{cfg, err}:
			case <-ctx.Done():
			}
		}
	}()
	return readings
}

// rereadConfig reads a configuration file that is to replace a running one.
func rereadConfig(path string, running []byte) (*Config, error) {
	cfg, err := ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if err := checkNoKeyMissing(running, cfg.raw); err != nil {
		err.File = path
		return nil, err
	}
	return cfg, nil
}

// reload sends a configuration that was read again to the loop, and switches to another discovery service if the configuration
// names another one.
func (n *node) reload(r Reload) {
	if n.running.Err() != nil {
		return // handed over: the successor reads the configuration itself
	}
	n.loop.send(settingsReloaded{r.Config})
	if r.Err != nil {
		return
	}
	slog.Info("configuration reloaded", logkey.Discovery, r.Config.Discovery, logkey.Classes, r.Config.classNames())
	if r.Config.Discovery != n.discovery {
		n.discovery = r.Config.Discovery
		n.loop.notifier.SetAddress(n.discovery) // first, so that notices already go to the new address when the watch is opened there
		n.loop.watch.SetAddress(n.discovery)
	}
}

// applySettings replaces the settings in one step: all decisions from here on, including those of this batch, follow the new
// settings. Other parts of the configuration take effect at the next start.
func (l *loop) applySettings(read *Config) {
	next := *l.cfg
	next.Settings, next.Discovery = read.Settings, read.Discovery
	next.policy = read.policy
	next.policy.MaxInFlight = min(next.policy.MaxInFlight, l.cfg.maxAttempts()) // the limits of the start stay in force
	next.policy.Classes = policy.MergeClasses(l.cfg.policy.Classes, read.policy.Classes)
	l.cfg = &next
	for _, name := range next.classNames() {
		l.metrics.AddClass(name)
	}
	l.events = append(l.events, policy.SettingsChanged{Settings: next.policy})
	l.setValidator(next.validator())
	for _, s := range l.subsystems {
		s.settingsChanged(&next)
	}
}
