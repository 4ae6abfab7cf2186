package invariant

import (
	"log/slog"
	"sync/atomic"

	"frostlink/internal/logkey"
)

// LogMessage is the log message of a violation. The attribute logkey.Kind is the name of the violation's
// kind.
const LogMessage = "invariant violated"

// Counts counts the violations in a process by kind. It is safe for concurrent use. The zero value is ready
// to use.
type Counts struct{ counts [kindCount]atomic.Int64 }

// Record counts and logs a violation. args are further attributes of the log message, in the form of
// slog.Error.
func (c *Counts) Record(k Kind, requestID string, args ...any) {
	c.counts[k].Add(1)
	slog.Error(LogMessage, append([]any{logkey.Kind, k.String(), logkey.RequestID, requestID}, args...)...)
}

// ByKind returns the counts by the names of the kinds, including those that are 0.
func (c *Counts) ByKind() map[string]int64 {
	byKind := make(map[string]int64, kindCount)
	for k, name := range kindNames {
		byKind[name] = c.counts[k].Load()
	}
	return byKind
}
