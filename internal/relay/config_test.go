package relay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestConfig(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","limits":
	 {"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"settings":` + testSettings(15) + `}`
	tests := []struct{ name, old, new, want string }{
		{"as it should be", "", "", ""},
		{"no JSON", `{"name"`, `["name"`, "invalid"},
		{"no address", `"listen":"127.0.0.1:1",`, "", "listen"},
		{"no discovery", `"discovery":"127.0.0.1:2",`, "", "discovery"},
		{"odd seed", "8c1f30d27a5be964", "seed", "seed"},
		{"no cores", `"cores":1`, `"cores":0`, "cores"},
		{"no memory", `"memory_mb":192`, `"memory_mb":-1`, "memory_mb"},
		{"no sockets", `"sockets":1024`, `"sockets":0`, "sockets"},
		{"no disk", `"disk_mb":3`, `"disk_mb":0`, "disk_mb"},
		{"unknown effect", "fragile", "fragrant", "idempotency"},
		{"no instances", `"n_instances":1`, `"n_instances":0`, "Instances"},
	}
	for _, tt := range tests {
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(strings.Replace(good, tt.old, tt.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadConfig(path)
		if tt.want == "" {
			if err != nil {
				t.Errorf("%s: %v", tt.name, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", tt.name, err, tt.want)
		}
	}
	if _, err := ReadConfig(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file: no error")
	}
}

// The shares of the descriptors fit into the limit, clients get the third that they may hold for requests, and
// calls out fit into the hosts' share.
func TestDescriptors(t *testing.T) {
	for _, limits := range []Limits{
		{Sockets: 256, MemoryMB: 32},
		{Sockets: 384, MemoryMB: 64},
		{Sockets: 1024, MemoryMB: 32},
		{Sockets: 1024, MemoryMB: 192},
		{Sockets: 30, MemoryMB: 32},
	} {
		limits.Cores, limits.DiskMB = 1, 3
		c := &Config{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Seed: "1", Limits: limits}
		if err := json.Unmarshal([]byte(testSettings(15)), &c.Settings); err != nil {
			t.Fatal(err)
		}
		if err := c.validate(); err != nil {
			t.Fatal(err)
		}
		clients, hosts := c.maxClientConns(), c.maxEndpointConns()
		if clients+hosts+reservedDescriptors > limits.Sockets {
			t.Errorf("%+v: %d for clients and %d for hosts", limits, clients, hosts)
		}
		if limits.Sockets >= 256 && clients < limits.Sockets/3 {
			t.Errorf("%+v: %d for clients", limits, clients)
		}
		if c.policy.MaxInFlight > hosts {
			t.Errorf("%+v: %d calls out on %d connections", limits, c.policy.MaxInFlight, hosts)
		}
		if c.maxIdleClientConns() >= limits.Sockets/3 {
			t.Errorf("%+v: %d idle ones leave none for requests", limits, c.maxIdleClientConns())
		}
	}
}
