package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// What is wrong with a key of a configuration file.
var (
	errMissing   = errors.New("missing")
	errNotObject = errors.New("is no object")
	errNotList   = errors.New("is no list")
)

// checkNoKeyMissing reports the first key that a running configuration has and the next one does not: a file of which a part
// was lost can still be JSON, and what is missing would count as 0. Lists are compared with the keys that all their elements
// share. The list of endpoints is left out: it may be empty.
func checkNoKeyMissing(running, next []byte) *ConfigError {
	var had, has any
	if err := errors.Join(json.Unmarshal(running, &had), json.Unmarshal(next, &has)); err != nil {
		return &ConfigError{Reason: err}
	}
	if top, ok := had.(map[string]any); ok {
		delete(top, "known")
	}
	return missingKey("", had, has)
}

// missingKey compares two values at a path.
func missingKey(path string, had, has any) *ConfigError {
	switch had := had.(type) {
	case map[string]any:
		return missingKeyOfObject(path, had, has)
	case []any:
		return missingKeyOfList(path, had, has)
	}
	return nil
}

func missingKeyOfObject(path string, had map[string]any, value any) *ConfigError {
	has, ok := value.(map[string]any)
	if !ok {
		return &ConfigError{Key: path, Reason: errNotObject}
	}
	for _, key := range slices.Sorted(maps.Keys(had)) {
		at := strings.TrimPrefix(path+"."+key, ".")
		v, ok := has[key]
		if !ok {
			return &ConfigError{Key: at, Reason: errMissing}
		}
		if err := missingKey(at, had[key], v); err != nil {
			return err
		}
	}
	return nil
}

func missingKeyOfList(path string, had []any, value any) *ConfigError {
	has, ok := value.([]any)
	if !ok {
		return &ConfigError{Key: path, Reason: errNotList}
	}
	common := commonKeys(had)
	if common == nil {
		return nil
	}
	for i := range has {
		if err := missingKey(fmt.Sprintf("%s[%d]", path, i), common, has[i]); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys returns the keys that all elements of a list have; nil where these are no objects.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, v := range list {
		object, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := object[key]; return !ok })
	}
	return common
}
