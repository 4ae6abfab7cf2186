package relay

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// fullConfig has every key that the pages name, those that may be absent included, and keys that no page names.
const fullConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","management":"127.0.0.1:3",
 "peer_listen":"127.0.0.1:4","peers":["127.0.0.1:4"],"peers_all":"127.0.0.1:5","region":{"name":"north"},
 "limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3,"threads":4},
 "known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:6","block":7}]},
 "settings":{"az":0,"categories":[
  {"name":"payment","aim_s":2,"aim_stretch":0.5,"deadline_s":20,"fifo_by_key":true,"group":"zone","idempotency":"dedup","late_share":0.4,
   "memory_span_s":11,"points":3,"stream":false,"colour":"red"},
  {"name":"status","aim_s":3,"aim_stretch":0.5,"deadline_s":22,"fifo_by_key":true,"group":"all","idempotency":"retryable","late_share":0.2,
   "memory_span_s":4,"points":1,"stream":false,"colour":"blue"}],
  "blend":{"whole":0.5,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.2},"client_habits":{"marks_retry":true},
  "discovery":"subscribe","family":"deliver","layer":0,"layers":["banks"],
  "limits":{"cancel":true,"conn_idle_s":9,"connect_timeout_s":1,"cpu_us_per_request":0,"cpu_us_per_s":300000,"max_attempts":10,"max_open":90,
   "max_retry_after_s":2,"max_streams":1,"peers":true,"probing":true,"retry_after":true,"second_copies":false,"max_pings":3},
  "localities":["a"],"n_instances":2,"ordinal":1,"over_share_worth":0.3,"quantum_s":0.004,"report":{"columns":["x0","x1"],"via":"inline"},
  "rules":{"answer_slack_s":0.1,"ask_within_s":8,"cold_share":0.2,"drain_grace_s":1,"overload_factor":2,"overload_for_s":1,"ramp_time_s":9,
   "order_pause_s":0.5},
  "shapes":["m2"],"specifics":{"bundle_max":[1],"loses_worth":"linear","max_calls":15,"notes":"none","refusal_cost":0.1,"report_x0":"left",
   "report_x1":"limit","route_fee":[0],"separate_routes":[false]},
  "tariffs":{"connection":0,"cross_zone":0,"discovery":0,"handshake":0.1,"late_fail":0.1,"moves":0,"origin":0,"peer":0.1,"probe":0.1,"waste":0.1},
  "tenants":[{"name":"acme","quota_rps":17,"share":0.6,"floor":2}],"weights":"nominal","worth_by":"request","season":"dry"}}`

// optionalPaths are the keys of fullConfig that may be absent, with "[0]" for the first element of a list.
var optionalPaths = []string{
	"known", "settings.tenants", "settings.rules.order_pause_s", "settings.categories[0].aim_stretch", "settings.categories[0].fifo_by_key",
	"settings.categories[1].aim_stretch", "settings.categories[1].fifo_by_key",
	// required of a class that is idempotent by key alone
	"settings.categories[1].group", "settings.categories[1].memory_span_s",
	// on no page
	"region", "limits.threads", "settings.season", "settings.limits.max_pings", "settings.categories[0].colour", "settings.categories[1].colour",
	"settings.tenants[0].floor",
}

// withoutKey returns a copy of a configuration without the key at a path, which must be there.
func withoutKey(t *testing.T, config, path string) string {
	t.Helper()
	return changeKey(t, config, path, func(object map[string]any, name string) { delete(object, name) })
}

// withNull returns a copy of a configuration in which the key at a path, which must be there, is null.
func withNull(t *testing.T, config, path string) string {
	t.Helper()
	return changeKey(t, config, path, func(object map[string]any, name string) { object[name] = nil })
}

func changeKey(t *testing.T, config, path string, change func(object map[string]any, name string)) string {
	t.Helper()
	var root map[string]any
	if err := json.Unmarshal([]byte(config), &root); err != nil {
		t.Fatal(err)
	}
	object, names := root, strings.Split(path, ".")
	for _, name := range names[:len(names)-1] {
		if list, index, ok := strings.Cut(name, "["); ok {
			object = object[list].([]any)[int(index[0]-'0')].(map[string]any)
		} else {
			object = object[name].(map[string]any)
		}
	}
	last := names[len(names)-1]
	if _, ok := object[last]; !ok {
		t.Fatalf("no key %s", path)
	}
	change(object, last)
	raw, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// allPaths returns the path of each key of an object, and of the objects in it.
func allPaths(t *testing.T, path string, value any) (paths []string) {
	t.Helper()
	switch value := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(value)) {
			at := strings.TrimPrefix(path+"."+name, ".")
			paths = append(append(paths, at), allPaths(t, at, value[name])...)
		}
	case []any:
		for i, element := range value {
			paths = append(paths, allPaths(t, path+"["+string(rune('0'+i))+"]", element)...)
		}
	}
	return paths
}

// Guards against a reload that is turned down for a key that may be absent (review/7), and against one that is applied although a key is
// missing: of a file with every key of the pages, each key is left out in turn, and then all keys that may be absent at once.
func TestCheckNoKeyMissing_RequiresWhatThePagesDo(t *testing.T) {
	var root map[string]any
	if err := json.Unmarshal([]byte(fullConfig), &root); err != nil {
		t.Fatal(err)
	}
	required := 0
	for _, path := range allPaths(t, "", root) {
		if strings.HasPrefix(path, "known.") || strings.HasPrefix(path, "known[") || strings.HasPrefix(path, "region.") {
			continue // parts of what may be absent
		}
		for what, next := range map[string]string{"without": withoutKey(t, fullConfig, path), "null": withNull(t, fullConfig, path)} {
			err := checkNoKeyMissing([]byte(fullConfig), []byte(next))
			if slices.Contains(optionalPaths, path) {
				if err != nil {
					t.Errorf("%s %s: %v", what, path, err)
				}
				continue
			}
			required++
			if err == nil || err.Key != path || err.Reason != errMissing { //nolint:errorlint // the reason itself, not one that wraps it
				t.Errorf("%s %s: %v", what, path, err)
			}
		}
	}
	if required != 2*(len(requiredKeys)+requiredInSecondClass) {
		t.Errorf("%d keys were reported missing, and %d are listed", required, len(requiredKeys))
	}
	next := fullConfig
	for _, path := range optionalPaths {
		if path != "settings.tenants[0].floor" { // a part of settings.tenants
			next = withoutKey(t, next, path)
		}
	}
	if err := checkNoKeyMissing([]byte(fullConfig), []byte(next)); err != nil {
		t.Errorf("without any key that may be absent: %v", err)
	}
}

// requiredInSecondClass is the number of keys that the second class of fullConfig needs as well as the first.
const requiredInSecondClass = 7

// What a file has to have does not follow from the lists of the running file: neither from what their elements share, nor from their
// being empty.
func TestCheckNoKeyMissing_AddedElements(t *testing.T) {
	const keyless = `{"name":"added","aim_s":1,"deadline_s":9,"idempotency":"retryable","late_share":0,"points":1,"stream":false}`
	const keyed = `{"name":"added","aim_s":1,"deadline_s":9,"idempotency":"dedup","group":"all","late_share":0,"memory_span_s":5,"points":1,"stream":false}`
	withClass := func(config, class string) string {
		return strings.Replace(config, `"categories":[`, `"categories":[`+class+`,`, 1)
	}
	withoutKeyed := strings.Replace(fullConfig, `"idempotency":"dedup"`, `"idempotency":"fragile"`, 1)
	withoutKeyed = withoutKey(t, withoutKey(t, withoutKeyed, "settings.categories[0].group"), "settings.categories[0].memory_span_s")
	noTenants := strings.Replace(fullConfig, `{"name":"acme","quota_rps":17,"share":0.6,"floor":2}`, "", 1)
	tests := []struct{ name, running, next, missing string }{
		{"class without keys that may be absent", fullConfig, withClass(fullConfig, keyless), ""},
		{"keyed class", fullConfig, withClass(fullConfig, keyed), ""},
		{"first keyed class", withoutKeyed, withClass(withoutKeyed, keyed), ""},
		{"first keyed class without key TTL", withoutKeyed, withClass(withoutKeyed, strings.Replace(keyed, `"memory_span_s":5,`, "", 1)), "settings.categories[0].memory_span_s"},
		{"keyed class without group", fullConfig, withClass(fullConfig, strings.Replace(keyed, `"group":"all",`, "", 1)), "settings.categories[0].group"},
		{"class without deadline", fullConfig, withClass(fullConfig, strings.Replace(keyless, `"deadline_s":9,`, "", 1)), "settings.categories[0].deadline_s"},
		{"class that is none", fullConfig, withClass(fullConfig, `"added"`), "settings.categories[0]"},
		{"no tenants any more", fullConfig, noTenants, ""},
		{"first tenant", noTenants, fullConfig, ""},
		{"first tenant without quota", noTenants, withoutKey(t, fullConfig, "settings.tenants[0].quota_rps"), "settings.tenants[0].quota_rps"},
		{"list in place of an object", fullConfig, strings.Replace(fullConfig, `"client_habits":{"marks_retry":true}`, `"client_habits":[]`, 1), "settings.client_habits"},
		{"object in place of a list", fullConfig, strings.Replace(fullConfig, `"tenants":[{"name":"acme","quota_rps":17,"share":0.6,"floor":2}]`, `"tenants":{}`, 1), "settings.tenants"},
		{"running without it", withoutKey(t, fullConfig, "settings.blend"), withoutKey(t, fullConfig, "settings.blend"), ""},
		{"running with more keys", fullConfig, withoutKey(t, fullConfig, "settings.tariffs.waste"), "settings.tariffs.waste"},
		{"running with fewer keys", withoutKey(t, fullConfig, "settings.tariffs"), fullConfig, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if err := checkNoKeyMissing([]byte(tt.running), []byte(tt.next)); err != nil {
				got = err.Key
			}
			if got != tt.missing {
				t.Errorf("missing %q, want %q", got, tt.missing)
			}
		})
	}
}

// Guards against a key that the relay reads and that the list of required keys was not asked about: each is either required or optional.
func TestRequiredKeys_CoverWhatTheRelayReads(t *testing.T) {
	listed := []string{"settings.tenants", "settings.rules.order_pause_s", "settings.categories[].fifo_by_key"}
	for _, key := range requiredKeys {
		listed = append(listed, key.path)
	}
	var check func(path string, of reflect.Type)
	check = func(path string, of reflect.Type) {
		for i := range of.NumField() {
			name := of.Field(i).Tag.Get("json")
			if name == "" || name == "-" || name == "known" {
				continue
			}
			at, kind := strings.TrimPrefix(path+"."+name, "."), of.Field(i).Type
			if !slices.Contains(listed, at) {
				t.Errorf("%s is neither required nor optional", at)
			}
			if kind.Kind() == reflect.Slice {
				at, kind = at+"[]", kind.Elem()
			}
			if kind.Kind() == reflect.Struct {
				check(at, kind)
			}
		}
	}
	check("", reflect.TypeFor[Config]())
}
