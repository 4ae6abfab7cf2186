package deadletter

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
)

// Filter selects messages. A field that is not set matches any message.
type Filter struct {
	Class, Tenant   string
	Destination     *int
	Reason          Reason
	State           State
	MayHaveExecuted *bool
}

// Matches reports whether the filter selects a message.
func (f *Filter) Matches(r *Record) bool {
	switch {
	case f.Class != "" && f.Class != r.Class,
		f.Tenant != "" && f.Tenant != r.Tenant,
		f.Destination != nil && *f.Destination != r.Destination,
		f.Reason != "" && f.Reason != r.Last().Reason,
		f.State != "" && f.State != r.State,
		f.MayHaveExecuted != nil && *f.MayHaveExecuted != (r.MayHaveExecuted() != nil):
		return false
	}
	return true
}

// Query encodes a filter as URL query parameters.
func (f *Filter) Query() url.Values {
	query := url.Values{}
	set := func(name, v string) {
		if v != "" {
			query.Set(name, v)
		}
	}
	set("class", f.Class)
	set("tenant", f.Tenant)
	set("reason", string(f.Reason))
	set("state", string(f.State))
	if f.Destination != nil {
		set("partner", strconv.Itoa(*f.Destination))
	}
	if f.MayHaveExecuted != nil {
		set("may_have_run", strconv.FormatBool(*f.MayHaveExecuted))
	}
	return query
}

// ParseFilter decodes a filter from URL query parameters.
func ParseFilter(query url.Values) (*Filter, error) {
	f := &Filter{Class: query.Get("class"), Tenant: query.Get("tenant"), Reason: Reason(query.Get("reason")), State: State(query.Get("state"))}
	if f.Reason != "" && !slices.Contains(reasons, f.Reason) {
		return nil, fmt.Errorf("reason: %q is none of %v", f.Reason, reasons)
	}
	if f.State != "" && !slices.Contains(states, f.State) {
		return nil, fmt.Errorf("state: %q is none of %v", f.State, states)
	}
	if v := query.Get("partner"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return nil, fmt.Errorf("partner: %q is no number", v)
		}
		f.Destination = &n
	}
	if v := query.Get("may_have_run"); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return nil, fmt.Errorf("may_have_run: %q is neither true nor false", v)
		}
		f.MayHaveExecuted = &b
	}
	return f, nil
}
