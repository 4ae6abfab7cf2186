package harness

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
)

// coordination is the coordination service beside the relays.
type coordination struct {
	text    string // what names it in the operator's file
	members []*faults.Process
}

// coordCluster is its name.
const coordCluster = "rehearsal"

// openCoordination starts the members that the script wants. Their program lies beside the relay's.
func (r *harness) openCoordination() error {
	if r.scenario.Coordination.Members == 0 {
		return nil
	}
	program := filepath.Join(filepath.Dir(r.options.RelayCommand[0]), "frostlink-coord")
	var list []string
	for i := range r.scenario.Coordination.Members {
		at, err := r.loopback.Address()
		if err != nil {
			return err
		}
		list = append(list, fmt.Sprintf("%d=%s", i+1, at))
	}
	r.coordination.text = fmt.Sprintf("cluster = %q\nmembers = [\"%s\"]", coordCluster, strings.Join(list, "\", \""))
	for i := range list {
		dir := filepath.Join(r.workDir, fmt.Sprint("coord-", i+1))
		args := []string{"init", "--folder", dir, "--cluster", coordCluster, "--id", fmt.Sprint(i + 1)}
		for _, m := range list {
			args = append(args, "--member", m)
		}
		if out, err := exec.CommandContext(r.ctx, program, args...).CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %s", program, err, out)
		}
		p := faults.NewProcess(filepath.Base(dir), dir+".log", r.launcher, program, "run", "--folder", dir)
		if err := p.Start(); err != nil {
			return err
		}
		r.coordination.members = append(r.coordination.members, p)
	}
	return nil
}

// Redeliveries are the calls that a partner got for messages under ids of relays' own making.
type Redeliveries struct {
	Destination  string        `json:"partner"`
	Attempts     int           `json:"calls"`
	Relays       int           `json:"relays"` // that made them
	Turns        int           `json:"turns"`  // so often another relay made the next one, and the first
	MaxPerSecond int           `json:"most"`   // in any second
	From         time.Duration `json:"from"`
	To           time.Duration `json:"to"`
}

// resends counts them, from what the partners themselves have written down.
func resends(log []checker.Event, s *scenario.Scenario) (list []Redeliveries) {
	resent := map[string]bool{}
	by := make([][]checker.Event, len(s.Destinations))
	for _, e := range log {
		switch {
		case e.Kind == checker.Redelivered:
			resent[e.ID] = true
		case e.Kind == checker.AttemptSent && e.Destination < len(by):
			by[e.Destination] = append(by[e.Destination], e)
		}
	}
	for dest, calls := range by {
		calls = slices.DeleteFunc(calls, func(e checker.Event) bool { return !resent[e.ID] })
		if len(calls) == 0 {
			continue
		}
		slices.SortFunc(calls, func(a, b checker.Event) int { return int(a.FirstByte - b.FirstByte) })
		r := Redeliveries{Destination: s.Destinations[dest].Name, Attempts: len(calls), From: calls[0].FirstByte, To: calls[len(calls)-1].FirstByte}
		relays := map[int]bool{}
		first := 0
		for i, e := range calls {
			for e.FirstByte-calls[first].FirstByte >= time.Second {
				first++
			}
			r.MaxPerSecond = max(r.MaxPerSecond, i-first+1)
			relays[e.Relay] = true
			if i == 0 || e.Relay != calls[i-1].Relay {
				r.Turns++
			}
		}
		r.Relays = len(relays)
		list = append(list, r)
	}
	return list
}
