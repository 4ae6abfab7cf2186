package stage

// Class is a class of messages in the settings.
type Class struct {
	Name        string
	Idempotency string  // retryable, dedup or fragile
	Group       string  // of a dedup class: all or zone
	DeadlineS   float64 // how long a message may be delivered
	MemoryS     float64 // of a dedup class: how long hosts remember its keys
}

// Settings returns the platform's settings of a small deployment of one relay, with the names and figures of the wire page.
func Settings(maxCalls int, zones []string, classes ...Class) map[string]any {
	var categories []map[string]any
	for _, c := range classes {
		category := map[string]any{
			"name": c.Name, "aim_s": 2.5, "deadline_s": c.DeadlineS, "idempotency": c.Idempotency, "late_share": 0.5, "points": 2.0, "stream": false,
		}
		if c.Idempotency == "dedup" {
			category["group"], category["memory_span_s"] = c.Group, c.MemoryS
		}
		categories = append(categories, category)
	}
	return map[string]any{
		"az": 0, "categories": categories, "discovery": "subscribe", "localities": zones, "n_instances": 1, "ordinal": 0,
		"limits": map[string]any{
			"cancel": true, "conn_idle_s": 15.0, "connect_timeout_s": 1.0, "max_attempts": 12, "max_open": 120, "max_retry_after_s": 3.0,
			"peers": true, "probing": true, "retry_after": true, "second_copies": false,
		},
		"over_share_worth": 0.2, "quantum_s": 0.005, "report": map[string]any{"columns": []string{"x0", "x1"}, "via": "inline"},
		"rules": map[string]any{
			"answer_slack_s": 0.3, "ask_within_s": 5.0, "cold_share": 0.17, "drain_grace_s": 1.0, "overload_factor": 2.5, "overload_for_s": 1.5,
			"ramp_time_s": 11.0,
		},
		"shapes": []string{"bank-systems"},
		"specifics": map[string]any{
			"bundle_max": []int{1}, "loses_worth": "linear", "max_calls": maxCalls, "separate_routes": []bool{false},
		},
		"tenants": []map[string]any{{"name": "lahore-office", "quota_rps": 100.0, "share": 1.0}}, "weights": "nominal", "worth_by": "request",
	}
}
