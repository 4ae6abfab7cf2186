package stand

import "time"

// Kind is the kind of all destinations.
const Kind = "bank"

const (
	idleSeconds  = 10.0 // for which an endpoint keeps an idle connection
	idleTimeout  = time.Duration(idleSeconds) * time.Second
	memoryMB     = 192
	sockets      = 1024
	diskMB       = 3
	maxCalls     = 17
	maxHeld      = 200
	keySpan      = 15.0 // seconds
	aimSeconds   = 3.0
	lateShare    = 0.3
	retryAfterS  = 3.0
	tenantRate   = 30.0
	batchSeconds = 0.005
)

// object is a JSON object.
type object = map[string]any

// Class is a class of messages.
type Class struct {
	Name        string
	Idempotency string // retryable, dedup or fragile
	DeadlineS   float64
	// Stretch is by how many times the work of a message its aim grows; nil: the key is absent, as it may be.
	Stretch *float64
}

// Tenant is the only tenant.
const Tenant = "lahore-office"

// settings returns the settings of a small deployment.
func settings(cfg *RelayConfig) object {
	var categories []object
	for _, class := range cfg.Classes {
		category := object{
			"name": class.Name, "idempotency": class.Idempotency, "group": "all", "memory_span_s": keySpan, "aim_s": aimSeconds,
			"deadline_s": class.DeadlineS, "late_share": lateShare, "points": 1.0, "stream": false,
		}
		if class.Stretch != nil {
			category["aim_stretch"] = *class.Stretch
		}
		categories = append(categories, category)
	}
	return object{
		"az": 0, "localities": []string{"a"}, "shapes": []string{Kind}, "n_instances": cfg.Relays, "ordinal": cfg.Ordinal, "family": "deliver",
		"layer": 0, "layers": []string{"partner-systems"}, "discovery": "subscribe", "weights": "nominal", "quantum_s": batchSeconds,
		"categories": categories, "over_share_worth": 0.2, "worth_by": "request", "client_habits": object{"marks_retry": true},
		"tenants": []object{{"name": Tenant, "quota_rps": tenantRate, "share": 1.0}},
		"report":  object{"columns": []string{"x0", "x1"}, "via": "inline"},
		"limits": object{
			"cancel": true, "conn_idle_s": idleSeconds, "connect_timeout_s": 1.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
			"max_attempts": cfg.Attempts, "max_open": maxHeld, "max_retry_after_s": retryAfterS, "max_streams": 1, "peers": true, "probing": true,
			"retry_after": true, "second_copies": false,
		},
		"rules": object{
			"answer_slack_s": 0.02, "ask_within_s": 10.0, "cold_share": 0.17, "drain_grace_s": 1.0, "overload_factor": 2.5,
			"overload_for_s": 1.5, "ramp_time_s": 11.0,
		},
		"specifics": object{
			"bundle_max": []int{1}, "loses_worth": "linear", "max_calls": maxCalls, "refusal_cost": 0.05, "route_fee": []float64{0},
			"separate_routes": []bool{false},
		},
	}
}
