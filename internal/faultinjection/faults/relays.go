package faults

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"frostlink/internal/settings"
)

// relay is a relay that gets no client requests, and only takes part in the fleet tasks.
type relay struct {
	*Process
	memberLinks  []*Proxy // to the members
	resourceLink *Proxy   // to the resource
}

// relayConfig is a relay's configuration file as the platform writes it.
type relayConfig struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"`
	Limits    processLimits     `json:"limits"`
	Known     endpointList      `json:"known"`
	Settings  settings.Settings `json:"settings"`
}

// processLimits are the resource limits of a relay's process.
type processLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
	DiskMB   int `json:"disk_mb"`
}

// endpointList is a relay's initial endpoint list, which is empty in a run.
type endpointList struct {
	Sequence  int   `json:"seq"`
	Complete  bool  `json:"whole"`
	Endpoints []any `json:"hosts"`
}

// addRelay prepares a relay's folder, and the proxies to the members and the resource.
func (h *harness) addRelay(index int) error {
	r := &relay{}
	for _, m := range h.members {
		link, err := h.link(m.address)
		if err != nil {
			return err
		}
		r.memberLinks = append(r.memberLinks, link)
	}
	var err error
	if r.resourceLink, err = h.link(h.resource.Addr()); err != nil {
		return err
	}
	name := fmt.Sprint("relay-", index+1)
	dir := filepath.Join(h.options.Dir, name)
	state, config, operator := filepath.Join(dir, "state"), filepath.Join(dir, "config.json"), filepath.Join(dir, "frostlink.toml")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return fmt.Errorf("create the state folder of %s: %w", name, err)
	}
	if err := h.writeRelayConfig(config, name, index); err != nil {
		return fmt.Errorf("configuration of %s: %w", name, err)
	}
	if err := os.WriteFile(operator, h.operatorFile(r), 0o600); err != nil {
		return fmt.Errorf("write the operator's file of %s: %w", name, err)
	}
	r.Process = h.newProcess(name, filepath.Join(h.options.Dir, name+".log"),
		h.options.RelayPath, "-config", config, "-state", state, "-operator", operator)
	h.relays = append(h.relays, r)
	return nil
}

// operatorFile returns the operator's file of a relay. It contains the members' addresses, and a heartbeat to the resource as the only
// fleet task.
func (h *harness) operatorFile(r *relay) []byte {
	var members []string
	for i, link := range r.memberLinks {
		members = append(members, fmt.Sprintf("%q", memberFlag(i, link.Addr())))
	}
	const form = `version = 1
[coordination]
cluster = %q
members = [%s]
ttl_ms = %d
[coordination.beat]
url = %q
every_s = 0.01
within_ms = %d
`
	ttl := h.options.TTL
	return fmt.Appendf(nil, form, h.cluster, strings.Join(members, ", "), ttl.Milliseconds(), "http://"+r.resourceLink.Addr()+"/beat",
		(ttl / 5).Milliseconds())
}

// writeRelayConfig writes the configuration file of a relay. No discovery service listens on the discovery address in it.
func (h *harness) writeRelayConfig(file, name string, index int) error {
	listen, err := h.loopback.Address()
	if err != nil {
		return err
	}
	discovery, err := h.loopback.Address()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(relayConfig{
		Name: name, Listen: listen, Discovery: discovery, Seed: fmt.Sprintf("%016x", h.options.Seed*1000+uint64(index)),
		Limits:   processLimits{Cores: 1, MemoryMB: 64, Sockets: 128, DiskMB: 3},
		Known:    endpointList{Complete: true, Endpoints: []any{}},
		Settings: relaySettings(h.options.Relays, index),
	})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// relaySettings returns the settings of a relay. Most of them have no effect without client requests, but the relay requires valid
// values.
func relaySettings(instances, ordinal int) settings.Settings {
	return settings.Settings{
		Discovery: "subscribe", Instances: instances, Ordinal: ordinal, BatchIntervalS: 0.002, Weights: "nominal",
		Limits: settings.Limits{
			IdleConnTimeoutS: 5, ConnectTimeoutS: 1, MaxAttempts: 3, MaxHeld: 100, MaxRetryAfterS: 3, RetryAfter: true,
		},
		Rules: settings.Rules{
			AnswerSlackS: 0.1, PollWithinS: 4, ColdCapacity: 0.3, DrainGraceS: 2, OverloadFactor: 2, OverloadWindowS: 1, SlowStartTimeS: 5,
		},
		Report: settings.Report{Columns: []string{}, Via: "off"},
		Specifics: settings.Specifics{
			WeightDecay: "linear", MaxInFlight: 4, MaxBatch: []int{1}, SeparateRoutes: []bool{false}, ZoneCost: []float64{0},
		},
		Classes: []settings.Class{{
			Name: "C", LatencyObjectiveS: 1, DeadlineS: 5, Idempotency: "retryable", KeyScope: "all", LateFraction: 0.5, PriorityWeight: 1,
		}},
		DestinationKinds: []string{"A"}, Zones: []string{"L"},
	}
}
