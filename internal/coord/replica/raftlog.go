package replica

import "fmt"

// silentLogger is the Raft library's logger. It discards messages, since Status shows the same
// state, and panics on errors after which the library can't continue.
type silentLogger struct{}

func (silentLogger) Debug(...any)            {}
func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warning(...any)          {}
func (silentLogger) Warningf(string, ...any) {}
func (silentLogger) Error(...any)            {}
func (silentLogger) Errorf(string, ...any)   {}

func (silentLogger) Fatal(args ...any)                 { panic(fmt.Sprint(args...)) }
func (silentLogger) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (silentLogger) Panic(args ...any)                 { panic(fmt.Sprint(args...)) }
func (silentLogger) Panicf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
