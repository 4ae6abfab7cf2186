package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"

	"frostlink/policy"
)

// missingKey names the first key that a running configuration has and a new one does not: a file of which a part was lost
// can still be JSON, and what is missing would count as 0. Lists are held against the keys that all their elements
// share. The list of hosts is not looked at: it may be empty.
func missingKey(running, next []byte) error {
	var had, has any
	if err := errors.Join(json.Unmarshal(running, &had), json.Unmarshal(next, &has)); err != nil {
		return err
	}
	if top, ok := had.(map[string]any); ok {
		delete(top, "known")
	}
	return missingKeyIn("", had, has)
}

func missingKeyIn(path string, had, has any) error {
	switch had := had.(type) {
	case map[string]any:
		has, ok := has.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: is no object", path)
		}
		for _, key := range slices.Sorted(maps.Keys(had)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			v, ok := has[key]
			if !ok {
				return fmt.Errorf("%s: missing", at)
			}
			if err := missingKeyIn(at, had[key], v); err != nil {
				return err
			}
		}
	case []any:
		has, ok := has.([]any)
		if !ok {
			return fmt.Errorf("%s: is no list", path)
		}
		common := commonKeys(had)
		if common == nil {
			return nil
		}
		for i := range has {
			if err := missingKeyIn(fmt.Sprintf("%s[%d]", path, i), common, has[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys are the keys that all elements of a list have; nil where these are no objects.
func commonKeys(list []any) any {
	var common map[string]any
	for _, v := range list {
		m, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(m)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := m[key]; return !ok })
	}
	if common == nil {
		return nil
	}
	return common
}

// Reading is what came of reading the configuration again.
type Reading struct {
	Config *Config
	Err    error
}

// Reread reads the configuration again at each hang-up. One that can't be used changes nothing.
func Reread(ctx context.Context, path string, running *Config, hangups <-chan os.Signal) <-chan Reading {
	read := make(chan Reading)
	go func() {
		had := running.raw
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			cfg, err := ReadConfig(path)
			if err == nil {
				if err = missingKey(had, cfg.raw); err != nil {
					cfg, err = nil, fmt.Errorf("configuration %s: %w", path, err)
				} else {
					had = cfg.raw
				}
			}
			if err != nil {
				slog.Error("the old configuration stays", "err", err)
			}
			select {
			case read <- Reading{cfg, err}:
			case <-ctx.Done():
			}
		}
	}()
	return read
}

// reloadSettings swaps the settings in one step: what is decided from here on, in this batch already, is decided under the new
// ones. All else of the configuration is for the next start.
func (l *loop) reloadSettings(read *Config) {
	next := *l.cfg
	next.Settings, next.Discovery = read.Settings, read.Discovery
	next.policy = read.policy
	next.policy.Classes = policy.MergeClasses(l.cfg.policy.Classes, read.policy.Classes)
	l.cfg = &next
	for _, name := range next.classNames() {
		l.metrics.AddClass(name)
	}
	l.events = append(l.events, policy.SettingsChanged{Settings: next.policy})
	l.setValidator(next.validator())
	if l.writer != nil {
		l.writer.setClasses(next.ResendClasses(next.Own.Undelivered))
	}
}
