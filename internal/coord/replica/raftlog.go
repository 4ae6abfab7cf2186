package replica

import "fmt"

// silentLogger is the Raft library's logger. What the library would log is in Status; what it can't
// go on after ends the process.
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
