package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Faults of a key in a configuration file.
var (
	errMissing   = errors.New("missing")
	errNotObject = errors.New("is not an object")
	errNotList   = errors.New("is not a list")
)

// checkNoKeyMissing reports the first key that the running configuration has and the next one lacks: a file that has lost a
// part can still be valid JSON, and the missing values would be read as 0. The elements of a list must have the keys that all
// elements of the running list share. The list of endpoints is not compared, since it may be empty.
func checkNoKeyMissing(running, next []byte) *ConfigError {
	var runningValue, nextValue any
	if err := errors.Join(json.Unmarshal(running, &runningValue), json.Unmarshal(next, &nextValue)); err != nil {
		return &ConfigError{Reason: err}
	}
	if top, ok := runningValue.(map[string]any); ok {
		delete(top, "known")
	}
	return missingKey("", runningValue, nextValue)
}

// missingKey compares the running value and the next value at a path.
func missingKey(path string, running, next any) *ConfigError {
	switch running := running.(type) {
	case map[string]any:
		return missingKeyOfObject(path, running, next)
	case []any:
		return missingKeyOfList(path, running, next)
	}
	return nil
}

func missingKeyOfObject(path string, running map[string]any, value any) *ConfigError {
	next, ok := value.(map[string]any)
	if !ok {
		return &ConfigError{Key: path, Reason: errNotObject}
	}
	for _, key := range slices.Sorted(maps.Keys(running)) {
		at := strings.TrimPrefix(path+"."+key, ".")
		v, ok := next[key]
		if !ok {
			return &ConfigError{Key: at, Reason: errMissing}
		}
		if err := missingKey(at, running[key], v); err != nil {
			return err
		}
	}
	return nil
}

func missingKeyOfList(path string, running []any, value any) *ConfigError {
	next, ok := value.([]any)
	if !ok {
		return &ConfigError{Key: path, Reason: errNotList}
	}
	common := commonKeys(running)
	if common == nil {
		return nil
	}
	for i := range next {
		if err := missingKey(fmt.Sprintf("%s[%d]", path, i), common, next[i]); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys returns the keys that all elements of a list have, or nil if any element is not an object.
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
