package harness

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// reloadTimeout is the time from SIGHUP within which a relay has to apply or reject a configuration file.
const reloadTimeout = 1200 * time.Millisecond

// corruptions are the ways in which a configuration file can be broken, by their names in scenarios.
var corruptions = map[string]func(raw []byte) []byte{
	scenario.CorruptionEmpty:     func([]byte) []byte { return nil },
	scenario.CorruptionTruncated: func(raw []byte) []byte { return raw[:len(raw)*2/3] },
	scenario.CorruptionMissingKey: func(raw []byte) []byte {
		return bytes.Replace(raw, []byte(`"max_attempts"`), []byte(`"most_attempts"`), 1)
	},
	scenario.CorruptionZeroValue: func(raw []byte) []byte {
		return bytes.Replace(raw, []byte(`"deadline_s":`), []byte(`"deadline_s": 0, "was":`), 1)
	},
}

// applySettings gives the relay a configuration file with the fault's settings, or a corrupted file, and checks that the
// relay's metrics count the reload or its failure.
func (r *relay) applySettings(fault *scenario.Fault) {
	p := r.serving()
	if p == nil {
		return // no process runs that could reload the file; the next process reads the file at its start
	}
	before, err := p.metrics()
	if err != nil {
		r.recordFailure("%v", err)
		return
	}
	previous := r.changeSettings(fault)
	if err := r.configure(); err != nil {
		r.recordFailure("%v", err)
		return
	}
	if fault.Corruption != "" {
		if err := corruptFile(r.configPath(), fault.Corruption); err != nil {
			r.recordFailure("%v", err)
		}
	}
	r.signal(syscall.SIGHUP)
	if !p.countsReload(before, fault.Corruption != "") && r.serving() == p {
		r.recordFailure("its figures do not say that a file (broken: %q) was read", fault.Corruption)
	}
	if fault.Corruption != "" {
		r.restoreSettings(previous)
	}
}

// changeSettings changes the settings in force as a fault specifies, and returns the previous settings.
func (r *relay) changeSettings(fault *scenario.Fault) (previous scenario.ReloadableSettings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous = r.settingsInForce
	r.settingsInForce = previous.With(fault)
	return previous
}

// restoreSettings writes a file with earlier settings, for the next process.
func (r *relay) restoreSettings(previous scenario.ReloadableSettings) {
	r.mu.Lock()
	r.settingsInForce = previous
	r.mu.Unlock()
	if err := r.configure(); err != nil {
		r.recordFailure("%v", err)
	}
}

// countsReload waits for the process's metrics to count one more reload than before, a failed one if the file is
// corrupted, and reports whether they did in time.
func (p *process) countsReload(before *checker.Scrape, corrupted bool) bool {
	count := func(m *checker.Scrape) int { return m.ReconfigOK }
	if corrupted {
		count = func(m *checker.Scrape) int { return m.ReconfigFailed }
	}
	return pollUntil(p.relay.h.ctx, reloadTimeout, func() bool {
		now, err := p.metrics()
		return err == nil && count(now) == count(before)+1
	})
}

// corruptFile corrupts a configuration file in one of the ways that corruptions lists.
func corruptFile(path, how string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("corrupt a file: %w", err)
	}
	if corrupt, ok := corruptions[how]; ok {
		raw = corrupt(raw)
	}
	return replaceFile(path, raw)
}
