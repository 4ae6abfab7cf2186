package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/operatorconfig"
)

const (
	// leaderTimeout is the time limit for a request to the leader. It allows for an election, which takes about a second.
	leaderTimeout = 8 * time.Second
	// statusTimeout is the time limit for requesting one member's status.
	statusTimeout = 2 * time.Second
)

// coordService is the coordination service that a command calls.
type coordService struct {
	cluster      string
	memberFlags  []string // each as ID=HOST:PORT
	operatorFile string
	members      []coord.Member
	caller       *api.Caller
}

// addFlags adds the flags that name the service to a command and all its subcommands.
func (s *coordService) addFlags(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&s.cluster, "cluster", "", "`name` of the cluster")
	f.StringArrayVar(&s.memberFlags, "member", nil, "a member of the service, as `ID=HOST:PORT`; may be repeated")
	f.StringVar(&s.operatorFile, "operator", "", "the operator's `file`, whose section [coordination] names the cluster and its members; replaces --cluster and --member")
}

// open reads the members from the flags or the operator's file. It does not connect to them.
func (s *coordService) open() error {
	if s.operatorFile != "" {
		config, err := operatorconfig.Read(s.operatorFile)
		if err != nil {
			return err
		}
		if config.Coordination == nil {
			return fmt.Errorf("%s: coordination: the section is absent", s.operatorFile)
		}
		s.cluster, s.memberFlags = config.Coordination.Cluster, config.Coordination.Members
	}
	if s.cluster == "" || len(s.memberFlags) == 0 {
		return errors.New("--cluster and --member, or --operator, must be given")
	}
	var err error
	if s.members, err = api.ParseMembers(s.memberFlags); err != nil {
		return fmt.Errorf("--member: %w", err)
	}
	s.caller = api.NewCaller(s.cluster)
	return nil
}

// callLeader sends a request to the leader.
func (s *coordService) callLeader(ctx context.Context, path string, r api.Request) (api.Response, error) {
	ctx, stop := context.WithTimeout(ctx, leaderTimeout)
	defer stop()
	return s.caller.CallLeader(ctx, s.members, path, r)
}

// read sends a query to the leader.
func (s *coordService) read(ctx context.Context, query api.Query) (api.Response, error) {
	return s.callLeader(ctx, api.PathRead, api.Request{Query: &query})
}

// apply sends a command to the leader. The command may be sent more than once, but is applied only once. A result with
// [coord.CodeNotHeld] is not returned as an error.
func (s *coordService) apply(ctx context.Context, command coord.Command) (coord.Result, error) {
	response, err := s.callLeader(ctx, api.PathCommand, api.Request{Command: &command})
	switch {
	case err != nil:
		return coord.Result{}, err
	case response.Result == nil:
		return coord.Result{}, errors.New("the response has no result")
	case response.Result.Code == coord.CodeOK || response.Result.Code == coord.CodeNotHeld:
		return *response.Result, nil
	}
	return *response.Result, fmt.Errorf("%s: %s %s", command.Op, response.Result.Code, response.Result.Detail)
}

// memberStatus is the status that one member reports, or the error of the request for it.
type memberStatus struct {
	Member coord.Member `json:"member"`
	Error  string       `json:"error,omitempty"`
	api.Status
}

// memberStatuses requests the status of each member in turn.
func (s *coordService) memberStatuses(ctx context.Context) []memberStatus {
	statuses := make([]memberStatus, len(s.members))
	for i, member := range s.members {
		statuses[i] = s.memberStatus(ctx, member)
	}
	return statuses
}

func (s *coordService) memberStatus(ctx context.Context, member coord.Member) memberStatus {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	status, err := s.caller.Status(ctx, member.Address)
	m := memberStatus{Member: member, Status: status}
	switch {
	case err != nil:
		m.Error = err.Error()
	case status.Cluster != s.cluster:
		m.Error = fmt.Sprintf("is a member of cluster %q", status.Cluster)
	case status.Member.ID != member.ID:
		m.Error = fmt.Sprintf("is member %d", status.Member.ID)
	}
	return m
}
