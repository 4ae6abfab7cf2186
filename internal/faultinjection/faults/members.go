package faults

import (
	"fmt"
	"path/filepath"
)

// member is a member of the coordination service.
type member struct {
	*Process
	address string
	links   []*Proxy // to the other members
}

// addMembers prepares the members' folders, and starts the proxies between the members.
func (h *harness) addMembers() error {
	var addresses []string
	for range h.options.Members {
		address, err := h.loopback.Address()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	for i := range addresses {
		if err := h.addMember(i, addresses); err != nil {
			return err
		}
	}
	return nil
}

// addMember prepares the member with an index; addresses are those of all members.
func (h *harness) addMember(index int, addresses []string) error {
	name := fmt.Sprint("member-", memberID(index))
	folder, logFile := filepath.Join(h.options.Dir, name), filepath.Join(h.options.Dir, name+".log")
	if err := h.initializeMember(index, addresses, folder, logFile); err != nil {
		return err
	}
	m := &member{address: addresses[index]}
	command := []string{h.options.CoordinatorPath, "run", "--folder", folder}
	for i, address := range addresses {
		if i == index {
			continue
		}
		link, err := h.link(address)
		if err != nil {
			return err
		}
		m.links = append(m.links, link)
		command = append(command, "--reach", memberFlag(i, link.Addr()))
	}
	m.Process = h.newProcess(name, logFile, command...)
	h.members = append(h.members, m)
	return nil
}

// initializeMember runs the command that creates a member's folder.
func (h *harness) initializeMember(index int, addresses []string, folder, logFile string) error {
	command := []string{
		h.options.CoordinatorPath, "init", "--folder", folder, "--cluster", h.cluster, "--id", fmt.Sprint(memberID(index)),
	}
	for i, address := range addresses {
		command = append(command, "--member", memberFlag(i, address))
	}
	initialization := NewProcess("init", logFile, h.launcher, command...)
	if err := initialization.Start(); err != nil {
		return err
	}
	<-initialization.exited // if the command failed, the member can't start, and the run reports its exit
	return nil
}

// memberID returns a member's id by its index.
func memberID(index int) int { return index + 1 }

// memberFlag returns the command-line argument that assigns an address to a member, as ID=ADDRESS.
func memberFlag(index int, address string) string {
	return fmt.Sprintf("%d=%s", memberID(index), address)
}
