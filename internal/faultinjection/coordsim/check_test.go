package coordsim

import (
	"slices"
	"testing"
	"time"

	"frostlink/internal/coord"
)

// requireChecks requires that exactly the checks in want have reported violations, in this order.
func requireChecks(t *testing.T, s *simulation, want ...string) {
	t.Helper()
	var got []string
	for _, v := range s.violations {
		got = append(got, v.Check)
	}
	if !slices.Equal(got, want) {
		t.Errorf("violations %v, want violations of the checks %v", s.violations, want)
	}
}

func TestCheckExecutions_NamesEachViolation(t *testing.T) {
	const lease = "lease-0"
	client := &leaseClient{name: "c0"}
	ended := func(token uint64, start, end time.Duration) *execution {
		return &execution{client: client, lease: lease, token: token, start: start, end: end, ended: true}
	}
	tests := map[string]struct {
		executions []*execution
		want       []string
	}{
		"one after the other":    {[]*execution{ended(1, 0, 10), ended(2, 10, 20)}, nil},
		"one token":              {[]*execution{ended(1, 0, 10), ended(1, 5, 20)}, nil},
		"two tokens at once":     {[]*execution{ended(1, 0, 10), ended(2, 9, 20)}, []string{checkOverlap}},
		"an older token later":   {[]*execution{ended(2, 0, 10), ended(1, 10, 20)}, []string{checkToken}},
		"an older token at once": {[]*execution{ended(2, 0, 10), ended(1, 5, 20)}, []string{checkOverlap, checkToken}},
		"a long execution":       {[]*execution{ended(1, 0, 100), ended(1, 10, 20), ended(2, 30, 40)}, []string{checkOverlap}},
		"in flight at the end":   {[]*execution{{client: client, lease: lease, token: 1}, ended(2, 50, 60)}, []string{checkOverlap}},
		"paused at its end":      {[]*execution{{client: client, lease: lease, token: 1, end: 50, paused: true}, ended(2, 50, 60)}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &simulation{scheduler: &scheduler{now: 200}, leases: []string{lease}, executions: tt.executions}
			s.checkExecutions()
			requireChecks(t, s, tt.want...)
		})
	}
}

func TestCheckGrants_TokenBelongsToOneGrant(t *testing.T) {
	first := grant{client: "c0", lease: "lease-0", token: 1}
	tests := map[string]struct {
		second grant
		want   []string
	}{
		"observed again":       {first, nil},
		"another token":        {grant{client: "c1", lease: "lease-0", token: 2}, nil},
		"another client":       {grant{client: "c1", lease: "lease-0", token: 1}, []string{checkToken}},
		"later incarnation":    {grant{client: "c0", incarnation: 1, lease: "lease-0", token: 1}, []string{checkToken}},
		"another lease":        {grant{client: "c0", lease: "lease-1", token: 1}, []string{checkToken}},
		"observed again later": {grant{client: "c0", lease: "lease-0", token: 1, observedAt: 5}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &simulation{grants: []grant{first, tt.second}}
			s.checkGrants()
			requireChecks(t, s, tt.want...)
		})
	}
}

func TestCheckQueueOrder_NoClientOvertakesAWaitingOne(t *testing.T) {
	const since, until = 10, 100
	tests := map[string]struct {
		grant     grant
		transfers []transfer
		want      []string
	}{
		"requested later":        {grant{client: "c1", lease: "lease-0", requestedAt: 20, observedAt: 50}, nil, []string{checkQueue}},
		"requested before":       {grant{client: "c1", lease: "lease-0", requestedAt: 10, observedAt: 50}, nil, nil},
		"granted after the wait": {grant{client: "c1", lease: "lease-0", requestedAt: 20, observedAt: 100}, nil, nil},
		"own grant":              {grant{client: "c0", lease: "lease-0", requestedAt: 20, observedAt: 50}, nil, nil},
		"another lease":          {grant{client: "c1", lease: "lease-1", requestedAt: 20, observedAt: 50}, nil, nil},
		"transferred":            {grant{client: "c1", lease: "lease-0", requestedAt: 20, observedAt: 50}, []transfer{{"lease-0", "c1", 40}}, nil},
		"transferred to others":  {grant{client: "c1", lease: "lease-0", requestedAt: 20, observedAt: 50}, []transfer{{"lease-0", "c2", 40}}, []string{checkQueue}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &simulation{grants: []grant{tt.grant}, transfers: tt.transfers}
			s.checkQueueOrder(&leaseClient{name: "c0"}, "lease-0", since, until)
			requireChecks(t, s, tt.want...)
		})
	}
}

func TestCheckValues_RequiresALinearization(t *testing.T) {
	write := func(expected, revision uint64, value string, code coord.Code, begin, end time.Duration) operation {
		return operation{key: keys[0], isWrite: true, expected: expected, revision: revision, value: value, code: code, begin: begin, end: end}
	}
	read := func(revision uint64, value string, begin, end time.Duration) operation {
		return operation{client: 1, key: keys[0], revision: revision, value: value, code: coord.CodeOK, begin: begin, end: end}
	}
	tests := map[string]struct {
		operations []operation
		want       []string
	}{
		"read of the written value":         {[]operation{write(0, 5, "a", coord.CodeOK, 0, 10), read(5, "a", 10, 20)}, nil},
		"read before a write ends":          {[]operation{write(0, 5, "a", coord.CodeOK, 0, 10), read(0, "", 5, 20)}, nil},
		"stale read":                        {[]operation{write(0, 5, "a", coord.CodeOK, 0, 10), read(0, "", 11, 20)}, []string{checkLinearizability}},
		"write over a wrong revision":       {[]operation{write(0, 5, "a", coord.CodeOK, 0, 10), write(4, 6, "b", coord.CodeOK, 11, 20)}, []string{checkLinearizability}},
		"conflict":                          {[]operation{write(0, 5, "a", coord.CodeOK, 0, 10), write(4, 5, "b", coord.CodeConflict, 11, 20)}, nil},
		"conflict at the expected revision": {[]operation{write(0, 5, "a", coord.CodeOK, 0, 10), write(5, 5, "b", coord.CodeConflict, 11, 20)}, []string{checkLinearizability}},
		"outcome unknown, executed":         {[]operation{write(0, 0, "a", codeUnknown, 0, forever), read(5, "a", 11, 20)}, nil},
		"outcome unknown, not executed":     {[]operation{write(0, 0, "a", codeUnknown, 0, forever), read(0, "", 11, 20)}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &simulation{operations: tt.operations}
			s.checkValues()
			requireChecks(t, s, tt.want...)
		})
	}
}

func TestReport_BoundsViolations(t *testing.T) {
	s := &simulation{}
	for i := range 2 * maxViolations {
		s.report(checkSame, "%d", i)
	}
	if len(s.violations) != maxViolations {
		t.Errorf("%d violations, want %d", len(s.violations), maxViolations)
	}
}
