package harness

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"frostlink/internal/faultinjection/faults"
)

const (
	// coordinationProgram is the coordination service's program, which lies in the same folder as the relay's program.
	coordinationProgram = "frostlink-coord"
	// coordinationCluster is the name of the coordination service's cluster.
	coordinationCluster = "rehearsal"
)

// coordination is the coordination service of the run.
type coordination struct {
	text    string // lines of the operator's file that name the cluster and its members
	members []*faults.Process
}

// openCoordination starts the members of the coordination service, if the scenario has any.
func (h *harness) openCoordination() error {
	if h.scenario.Coordination.Members == 0 {
		return nil
	}
	program := filepath.Join(filepath.Dir(h.options.RelayCommand[0]), coordinationProgram)
	var members []string // ID=ADDRESS
	for i := range h.scenario.Coordination.Members {
		addr, err := h.loopback.Address()
		if err != nil {
			return err
		}
		members = append(members, fmt.Sprintf("%d=%s", i+1, addr))
	}
	c := &h.coordination
	c.text = fmt.Sprintf("cluster = %q\nmembers = [\"%s\"]", coordinationCluster, strings.Join(members, "\", \""))
	for i := range members {
		member, err := h.startMember(program, i+1, members)
		if err != nil {
			return err
		}
		c.members = append(c.members, member)
	}
	return nil
}

// startMember initializes the folder of a member and starts it.
func (h *harness) startMember(program string, id int, members []string) (*faults.Process, error) {
	name := fmt.Sprint("coord-", id)
	folder := filepath.Join(h.workDir, name)
	args := []string{"init", "--folder", folder, "--cluster", coordinationCluster, "--id", strconv.Itoa(id)}
	for _, m := range members {
		args = append(args, "--member", m)
	}
	if out, err := exec.CommandContext(h.ctx, program, args...).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%s: %w: %s", program, err, out)
	}
	p := faults.NewProcess(name, folder+".log", h.launcher, program, "run", "--folder", folder)
	if err := p.Start(); err != nil {
		return nil, err
	}
	return p, nil
}
