package relay

// A requiredKey is a key that the platform's pages give a configuration file, without saying that it may be absent.
type requiredKey struct {
	// path is written as on the pages: a dot stands between an object and its key, "[]" for each element of a list.
	path string
	// appliesTo reports whether the object that has the key needs it; nil: each such object does.
	appliesTo func(object map[string]any) bool
}

// requiredKeys lists the required keys, each object before its keys. Also keys that the relay does not read are listed: a file without them
// has lost a part.
//
// Not listed, since the pages allow them to be absent: categories[].aim_stretch ("the key may be absent"), categories[].fifo_by_key
// ("optional"), rules.order_pause_s ("if present"), tenants ("some sites have none"), known, which a reload does not use, and all keys that
// the pages do not name ("new keys may appear: [...] skip any that are not recognised").
var requiredKeys = []requiredKey{
	// the deployment page
	{path: "name"},
	{path: "listen"},
	{path: "discovery"},
	{path: "seed"},
	{path: "management"},
	{path: "peer_listen"},
	{path: "peers"},
	{path: "peers_all"},
	{path: "limits"},
	{path: "limits.cores"},
	{path: "limits.memory_mb"},
	{path: "limits.sockets"},
	{path: "limits.disk_mb"},
	{path: "settings"},

	// the wire page
	{path: "settings.n_instances"},
	{path: "settings.ordinal"},
	{path: "settings.quantum_s"},
	{path: "settings.discovery"},
	{path: "settings.az"},
	{path: "settings.localities"},
	{path: "settings.layer"},
	{path: "settings.layers"},
	{path: "settings.shapes"},
	{path: "settings.family"},
	{path: "settings.weights"},
	{path: "settings.worth_by"},
	{path: "settings.over_share_worth"},

	{path: "settings.categories"},
	{path: "settings.categories[].name"},
	{path: "settings.categories[].idempotency"},
	{path: "settings.categories[].deadline_s"},
	{path: "settings.categories[].aim_s"},
	{path: "settings.categories[].points"},
	{path: "settings.categories[].late_share"},
	{path: "settings.categories[].stream"},
	{path: "settings.categories[].group", appliesTo: isIdempotentByKey},
	{path: "settings.categories[].memory_span_s", appliesTo: isIdempotentByKey},

	{path: "settings.tenants[].name"},
	{path: "settings.tenants[].quota_rps"},
	{path: "settings.tenants[].share"},

	{path: "settings.limits"},
	{path: "settings.limits.cancel"},
	{path: "settings.limits.conn_idle_s"},
	{path: "settings.limits.connect_timeout_s"},
	{path: "settings.limits.cpu_us_per_request"},
	{path: "settings.limits.cpu_us_per_s"},
	{path: "settings.limits.max_attempts"},
	{path: "settings.limits.max_open"},
	{path: "settings.limits.max_retry_after_s"},
	{path: "settings.limits.max_streams"},
	{path: "settings.limits.peers"},
	{path: "settings.limits.probing"},
	{path: "settings.limits.retry_after"},
	{path: "settings.limits.second_copies"},

	{path: "settings.rules"},
	{path: "settings.rules.answer_slack_s"},
	{path: "settings.rules.ask_within_s"},
	{path: "settings.rules.cold_share"},
	{path: "settings.rules.drain_grace_s"},
	{path: "settings.rules.overload_factor"},
	{path: "settings.rules.overload_for_s"},
	{path: "settings.rules.ramp_time_s"},

	{path: "settings.specifics"},
	{path: "settings.specifics.bundle_max"},
	{path: "settings.specifics.loses_worth"},
	{path: "settings.specifics.max_calls"},
	{path: "settings.specifics.notes"},
	{path: "settings.specifics.refusal_cost"},
	{path: "settings.specifics.report_x0"},
	{path: "settings.specifics.report_x1"},
	{path: "settings.specifics.route_fee"},
	{path: "settings.specifics.separate_routes"},

	{path: "settings.report"},
	{path: "settings.report.columns"},
	{path: "settings.report.via"},

	{path: "settings.blend"},
	{path: "settings.blend.whole"},
	{path: "settings.blend.worst_class"},
	{path: "settings.blend.worst_tenant"},
	{path: "settings.blend.worst_window"},

	{path: "settings.client_habits"},
	{path: "settings.client_habits.marks_retry"},

	{path: "settings.tariffs"},
	{path: "settings.tariffs.connection"},
	{path: "settings.tariffs.cross_zone"},
	{path: "settings.tariffs.discovery"},
	{path: "settings.tariffs.handshake"},
	{path: "settings.tariffs.late_fail"},
	{path: "settings.tariffs.moves"},
	{path: "settings.tariffs.origin"},
	{path: "settings.tariffs.peer"},
	{path: "settings.tariffs.probe"},
	{path: "settings.tariffs.waste"},
}

// isIdempotentByKey reports whether a class is idempotent by key: only of such a class do the pages say what destinations remember.
func isIdempotentByKey(class map[string]any) bool { return class["idempotency"] == "dedup" }
