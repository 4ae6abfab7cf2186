package relay

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// withAllOptionalKeys adds to settings each key that may be absent, and keys that no page names.
func withAllOptionalKeys(settings string) string {
	return strings.NewReplacer(
		`"aim_s":2,`, `"aim_s":2,"aim_stretch":0.5,"fifo_by_key":false,"colour":"red",`, `"group":"all","points"`, `"group":"all","memory_span_s":5,"points"`,
		`"ramp_time_s":10`, `"ramp_time_s":10,"order_pause_s":0.2,"season":"dry"`, `"weights":`, `"region":{"name":"north"},"weights":`,
		`{"name":"acme"}`, `{"name":"acme","quota_rps":20,"share":1}`,
	).Replace(settings)
}

// addedClass is a class with the keys that its kind needs, and no other.
const addedClass = `"categories":[{"name":"added","aim_s":2,"deadline_s":30,"idempotency":"retryable","points":1},`

// Guards against a configuration that is turned down for a key that may be absent (review/7): then the relay stays with a discovery service
// that nobody serves. Each file leaves out what the running one has; together with a class added without them, and a moved discovery
// service, all are applied.
func TestReload_AppliesFilesWithoutKeysThatMayBeAbsent(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	p.changeSettings = withAllOptionalKeys
	c := p.start()
	full := readFile(t, p.configPath)
	for name, change := range map[string][]string{
		"aim_stretch in one class":                          {`"aim_s":2,"aim_stretch":0.5,`, `"aim_s":2,`},
		"fifo_by_key in one class":                          {`"fifo_by_key":false,`, ``},
		"group of a class without idempotency keys":         {`"idempotency":"retryable","group":"all","memory_span_s":5`, `"idempotency":"retryable","memory_span_s":5`},
		"memory_span_s of a class without idempotency keys": {`"idempotency":"fragile","group":"all","memory_span_s":5,`, `"idempotency":"fragile","group":"all",`},
		"order_pause_s":                                     {`,"order_pause_s":0.2`, ``},
		"tenants":                                           {`"tenants":[{"name":"acme","quota_rps":20,"share":1}],`, ``},
		"a key of no page":                                  {`"season":"dry"`, `"year":2026`},
		"an object of the same":                             {`"region":{"name":"north"},`, ``},
		"all in an added class":                             {`"categories":[`, addedClass},
	} {
		t.Run(name, func(t *testing.T) {
			next := strings.Replace(full, change[0], change[1], 1)
			if next == full {
				t.Fatal("nothing is left out")
			}
			p.t = t
			p.reloadConfig(c, next, true)
			p.reloadConfig(c, full, true)
		})
	}
	p.t = t
	address := p.addDiscovery()
	p.changeSettings = func(settings string) string {
		return strings.Replace(withAllOptionalKeys(settings), `"categories":[`, addedClass, 1)
	}
	p.reloadConfig(c, readFile(t, p.writeConfig()), true)
	p.mustAccept("added", "served", "20")
	if id := p.nextAttempt(); id != "served" {
		t.Errorf("attempt for %s", id)
	}
	p.waitFor("the watch has moved", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.ContainsFunc(p.watches, func(watch string) bool { return strings.HasPrefix(watch, address) })
	})
}

// A file that lacks a key is turned down as a whole, and the log names file, key and reason, also where the lists of the running file say
// nothing of the key: no running class is idempotent by key, and one has no priority weight.
func TestReload_RejectsFilesThatLackAKey(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	p.changeSettings = func(settings string) string {
		return strings.Replace(settings, `"idempotency":"dedup","group":"all","memory_span_s":15`, `"idempotency":"retryable"`, 1)
	}
	c := p.start()
	good := readFile(t, p.configPath)
	const keyed = `"categories":[{"name":"added","aim_s":2,"deadline_s":30,"idempotency":"dedup","group":"all","memory_span_s":5,"points":1},`
	broken := map[string]string{
		"settings.categories[0].memory_span_s": strings.Replace(strings.Replace(good, `"categories":[`, keyed, 1), `"memory_span_s":5,`, ``, 1),
		"settings.categories[0].group":         strings.Replace(strings.Replace(good, `"categories":[`, keyed, 1), `"idempotency":"dedup","group":"all",`, `"idempotency":"dedup",`, 1),
		"settings.categories[2].points":        strings.Replace(good, `"idempotency":"fragile","group":"all","points":1`, `"idempotency":"fragile","group":"all"`, 1),
		"settings.limits.conn_idle_s":          strings.Replace(good, `"conn_idle_s":10,`, ``, 1),
		"settings.specifics.loses_worth":       strings.Replace(good, `"loses_worth":"linear",`, `"loses_worth":null,`, 1),
		"seed":                                 strings.Replace(good, `"seed":`, `"need":`, 1),
	}
	for key, text := range broken {
		t.Run(key, func(t *testing.T) {
			if text == good {
				t.Fatal("nothing is missing")
			}
			p.t = t
			p.reloadConfig(c, strings.Replace(text, `"name":"status"`, `"name":"status-ii"`, 1), false)
			if resp := p.submit("status-ii", key, "25"); resp.StatusCode != http.StatusNotFound {
				t.Errorf("submission to a class of a broken file: %s", resp.Status)
			}
		})
	}
	p.t = t
	p.reloadConfig(c, strings.Replace(good, `"categories":[`, keyed, 1), true)
	p.kill(c)
	log := c.Stderr.(*bytes.Buffer).String()
	for key := range broken {
		if !slices.ContainsFunc(strings.Split(log, "\n"), func(line string) bool {
			return strings.Contains(line, "configuration reload failed") && strings.Contains(line, p.configPath+": "+key+": ")
		}) {
			t.Errorf("no line names the file and %s: %s", key, log)
		}
	}
}
