package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Faults of a key in a configuration file.
var (
	errMissing   = errors.New("missing")
	errNotObject = errors.New("is not an object")
	errNotList   = errors.New("is not a list")
)

// checkNoKeyMissing reports the first required key that a configuration lacks: a file that has lost a part can still be valid JSON, and the
// missing values would be read as 0. A key that the running configuration does without is not required of the next one either: a platform
// that leaves it out does so in all its files.
func checkNoKeyMissing(running, next []byte) *ConfigError {
	runningValues, err := decodeWithoutEndpoints(running)
	if err != nil {
		return &ConfigError{Reason: err}
	}
	nextValues, err := decodeWithoutEndpoints(next)
	if err != nil {
		return &ConfigError{Reason: err}
	}
	for i := range requiredKeys {
		key := &requiredKeys[i]
		if err := key.check(nextValues); err != nil && key.check(runningValues) == nil {
			return err
		}
	}
	return nil
}

// decodeWithoutEndpoints decodes a configuration without its list of endpoints, which may be long.
func decodeWithoutEndpoints(raw []byte) (map[string]any, error) {
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, err //nolint:wrapcheck // checkNoKeyMissing adds the context
	}
	delete(parts, "known")
	values := map[string]any{}
	for key, part := range parts {
		var value any
		if err := json.Unmarshal(part, &value); err != nil {
			return nil, err //nolint:wrapcheck // as above
		}
		values[key] = value
	}
	return values, nil
}

// check reports the first place of a configuration that lacks the key.
func (k *requiredKey) check(configuration map[string]any) *ConfigError {
	return k.checkObject("", configuration, strings.Split(k.path, "."))
}

// checkObject checks an object, which stands at a path of the file. names leads from the object to the key.
func (k *requiredKey) checkObject(path string, object map[string]any, names []string) *ConfigError {
	name, inList := strings.CutSuffix(names[0], "[]")
	value, at := object[name], strings.TrimPrefix(path+"."+name, ".")
	switch {
	case len(names) == 1:
		if value == nil && (k.appliesTo == nil || k.appliesTo(object)) { // absent, or null
			return &ConfigError{Key: at, Reason: errMissing}
		}
		return nil
	case value == nil: // whether this key is required is said by its own entry
		return nil
	case inList:
		return k.checkElements(at, value, names[1:])
	}
	return k.checkValue(at, value, names[1:])
}

// checkElements checks each element of a list.
func (k *requiredKey) checkElements(path string, value any, names []string) *ConfigError {
	list, ok := value.([]any)
	if !ok {
		return &ConfigError{Key: path, Reason: errNotList}
	}
	for i, element := range list {
		if err := k.checkValue(fmt.Sprintf("%s[%d]", path, i), element, names); err != nil {
			return err
		}
	}
	return nil
}

// checkValue checks a value that has to be an object.
func (k *requiredKey) checkValue(path string, value any, names []string) *ConfigError {
	object, ok := value.(map[string]any)
	if !ok {
		return &ConfigError{Key: path, Reason: errNotObject}
	}
	return k.checkObject(path, object, names)
}
