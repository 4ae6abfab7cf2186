package scenario

import "frostlink/internal/strictconfig"

// Read reads a scenario file. If the file can be read but has mistakes, the error is a strictconfig.FieldErrors that lists all of
// them.
func Read(path string) (*Scenario, error) {
	s := newWithDefaults()
	document, err := strictconfig.ReadFile(path, s)
	if err != nil {
		return nil, err
	}
	return complete(s, document)
}

// Parse reads a scenario from memory. Errors contain name as the name of the file. An error is always a strictconfig.FieldErrors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := newWithDefaults()
	return complete(s, strictconfig.Decode(name, text, s))
}

func complete(s *Scenario, document *strictconfig.Document) (*Scenario, error) {
	s.applyDefaults(document)
	s.validate(validator{document})
	if err := document.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
