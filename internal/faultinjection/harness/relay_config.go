package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"frostlink/internal/settings"
)

// relayConfig is the platform's configuration file for one relay. Its keys have to stay in alphabetical order, so that a fault
// that truncates the file always cuts off the same keys.
type relayConfig struct {
	Discovery  string            `json:"discovery"`
	Known      endpointList      `json:"known"`
	Limits     relayLimits       `json:"limits"`
	Listen     string            `json:"listen"`
	Name       string            `json:"name"`
	PeerListen string            `json:"peer_listen"`
	Peers      []string          `json:"peers"`
	PeersAll   string            `json:"peers_all"`
	Seed       string            `json:"seed"` // hexadecimal
	Settings   settings.Settings `json:"settings"`
}

// relayLimits are the resources that the platform grants one relay.
type relayLimits struct {
	Cores    float64 `json:"cores"`
	DiskMB   float64 `json:"disk_mb"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// config returns the configuration of the relay's next process.
func (r *relay) config() relayConfig {
	r.mu.Lock()
	discovery, starts, inForce := r.discovery, r.starts, r.settingsInForce
	r.mu.Unlock()
	granted := &r.h.scenario.Relay
	return relayConfig{
		Name: r.name, Listen: r.listen, Discovery: discovery,
		Seed: fmt.Sprintf("%016x", r.h.random.Stream("relay", r.number, starts).Uint64()),
		Limits: relayLimits{
			Cores: granted.Cores, MemoryMB: granted.MemoryMB, Sockets: granted.Sockets, DiskMB: granted.DiskMB,
		},
		PeerListen: r.peer, Peers: r.peers, PeersAll: r.peersAll,
		Known: r.h.discovery.initialList(r.number), Settings: r.h.scenario.RelaySettingsWith(r.number, inForce),
	}
}

// configure writes the platform's configuration file.
func (r *relay) configure() error {
	raw, err := json.MarshalIndent(r.config(), "", " ")
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	return replaceFile(r.configPath(), raw)
}

// writeOperatorFile writes the operator's file that the scenario gives.
func (r *relay) writeOperatorFile() error {
	text := strings.NewReplacer("{dir}", r.dir(), "{coordination}", r.h.coordination.text).Replace(r.h.scenario.Relay.Operator)
	if err := os.WriteFile(r.operatorPath(), []byte(text), 0o600); err != nil {
		return fmt.Errorf("operator's file of %s: %w", r.name, err)
	}
	return nil
}

// replaceFile replaces a file atomically: a reader finds the old content or the new.
func replaceFile(path string, content []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return fmt.Errorf("replace a file: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("replace a file: %w", err)
	}
	return nil
}
