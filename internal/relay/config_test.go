package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/wait/waittest"
)

func TestReadConfig(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","limits":
	 {"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"settings":` + testSettings(15) + `}`
	tests := []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"no JSON", `{"name"`, `["name"`, "invalid"},
		{"no address", `"listen":"127.0.0.1:1",`, "", "listen"},
		{"no discovery", `"discovery":"127.0.0.1:2",`, "", "discovery"},
		{"invalid seed", "8c1f30d27a5be964", "seed", "seed"},
		{"address without a port", `"listen":"127.0.0.1:1"`, `"listen":"127.0.0.1"`, "listen: "},
		{"address of too many parts", `"listen":"127.0.0.1:1"`, `"listen":"a:127.0.0.1:1"`, "listen: "},
		{"name in place of an address", `"listen":"127.0.0.1:1"`, `"listen":"relay:1"`, "listen: "},
		{"port out of range", `"listen":"127.0.0.1:1"`, `"listen":"127.0.0.1:65536"`, "listen: "},
		{"any address", `"listen":"127.0.0.1:1"`, `"listen":":1"`, ""},
		{"local host", `"listen":"127.0.0.1:1"`, `"listen":"localhost:1"`, ""},
		{"IPv6", `"listen":"127.0.0.1:1"`, `"listen":"[::1]:1"`, ""},
		{"no admin endpoint", `"listen":`, `"management":"","listen":`, ""},
		{"admin address without a port", `"listen":`, `"management":"127.0.0.1","listen":`, "management: "},
		{"name in place of the admin address", `"listen":`, `"management":"x127.0.0.1:1","listen":`, "management: "},
		{"no cores", `"cores":1`, `"cores":0`, "cores"},
		{"no memory", `"memory_mb":192`, `"memory_mb":-1`, "memory_mb"},
		{"no sockets", `"sockets":1024`, `"sockets":0`, "sockets"},
		{"no disk", `"disk_mb":3`, `"disk_mb":0`, "disk_mb"},
		{"unknown idempotency", "fragile", "fragrant", "idempotency"},
		{"no instances", `"n_instances":1`, `"n_instances":0`, "Instances"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "c.json")
			if err := os.WriteFile(path, []byte(strings.Replace(good, tt.old, tt.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := ReadConfig(path)
			if tt.want == "" {
				if err != nil {
					t.Errorf("%s: %v", tt.name, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: error %v, want one line with %q", tt.name, err, tt.want)
			}
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.File != path {
				t.Errorf("%s: error %#v, want a *ConfigError of %s", tt.name, err, path)
			}
		})
	}
	if _, err := ReadConfig(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file: no error")
	}
}

// The shares of the descriptors add up to no more than the limit, clients get at least the third of all descriptors that they
// may hold for requests, and the limit of attempts in flight is no more than the endpoints' share.
func TestConfig_SharesDescriptors(t *testing.T) {
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
		clients, endpoints := c.maxClientConns(), c.maxEndpointConns()
		if clients+endpoints+reservedDescriptors > limits.Sockets {
			t.Errorf("%+v: %d for clients and %d for endpoints", limits, clients, endpoints)
		}
		if limits.Sockets >= 256 && clients < limits.Sockets/3 {
			t.Errorf("%+v: %d for clients", limits, clients)
		}
		if c.policy.MaxInFlight > endpoints {
			t.Errorf("%+v: %d attempts in flight on %d connections", limits, c.policy.MaxInFlight, endpoints)
		}
		if c.maxIdleClientConns() >= limits.Sockets/3 {
			t.Errorf("%+v: %d idle client connections leave none for requests", limits, c.maxIdleClientConns())
		}
	}
}

// Settings with unfamiliar classes, tenants, zones, kinds, limits and numbers are served. Settings that can't be served end the
// process before it is ready, with one line that names file, key and reason, and requests that were accepted before stay in the
// journal.
func TestConfig_ServesUnfamiliarSettings(t *testing.T) {
	const unfamiliar = `{"az":1,"categories":[
	 {"name":"ferry","aim_s":0.7,"deadline_s":21,"idempotency":"fragile","group":"all","points":7.5,"late_share":0.05},
	 {"name":"kelp","aim_s":3,"deadline_s":23,"idempotency":"dedup","group":"zone","memory_span_s":2.5,"points":0.3,"fifo_by_key":true},
	 {"name":"buoy-7","aim_s":1,"deadline_s":20,"idempotency":"retryable","group":"all","points":1,"late_share":1},
	 {"name":"x","aim_s":0,"deadline_s":22,"idempotency":"retryable","group":"all","points":0}],
	 "discovery":"automatic","limits":{"cancel":false,"conn_idle_s":3.5,"connect_timeout_s":0.4,"max_attempts":3,
	 "max_open":9,"max_retry_after_s":0,"retry_after":false,"peers":false,"probing":false},"localities":["reef","shoal"],
	 "n_instances":17,"quantum_s":0.004,"order_pause_s":0.2,"over_share_worth":0.7,
	 "rules":{"cold_share":0.4,"overload_factor":1.5,"overload_for_s":0.8,"ramp_time_s":4,"drain_grace_s":0.1,"ask_within_s":30,
	 "order_pause_s":0.3},"shapes":["atoll","m2"],"specifics":{"bundle_max":[4,1],"loses_worth":"halving","max_calls":2,
	 "separate_routes":[true,false],"route_fee":[0.01,0.02]},"tenants":[{"name":"gull"},{"name":"tern"}],"weights":"off"}`
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.changeSettings = func(string) string { return unfamiliar }
	withTenant := func(tenant string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("Tenant", tenant) }
	}
	c := p.start()
	for i, class := range []string{"ferry", "kelp", "buoy-7", "x"} {
		id := "m-" + class
		if resp := p.submit(class, id, "20", withTenant([]string{"gull", "tern"}[i%2]), orderKey("tide")); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", class, resp.Status)
		}
		if got := p.nextAttempt(); got != id {
			t.Errorf("attempt for %s, want %s", got, id)
		}
	}
	p.waitFor("all requests are delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
	for class, tenant := range map[string]string{"status": "gull", "ferry": "acme"} { // the class or the tenant is not in these settings
		if resp := p.submit(class, "no", "20", withTenant(tenant)); resp.StatusCode/100 != 4 {
			t.Errorf("%s of %s: %s", class, tenant, resp.Status)
		}
	}
	p.kill(c)
	j := openEarlierJournal(t, p.dir)
	j.Accept(&journal.Entry{ID: "held", Class: "ferry", Destination: 7, Deadline: j.Timeline().Now().Add(time.Minute)})
	mustCommit(t, j)
	p.changeSettings = func(string) string { return strings.Replace(unfamiliar, `"deadline_s":23`, `"deadline_s":0`, 1) }
	bad := p.spawn()
	if err := waittest.Receive(t, bad.exited); err == nil {
		t.Error("settings that can't be served: exit code 0")
	}
	logged := strings.TrimSpace(bad.Stderr.(*bytes.Buffer).String())
	if strings.Contains(logged, "\n") || !strings.Contains(logged, p.configPath) || !strings.Contains(logged, "categories[1].deadline_s") {
		t.Errorf("logged %q", logged)
	}
	p.changeSettings = func(string) string { return unfamiliar }
	p.start()
	p.waitFor("the request accepted before is delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.receivedNotices(); len(n) != 0 {
		t.Errorf("failed: %v", n)
	}
}
