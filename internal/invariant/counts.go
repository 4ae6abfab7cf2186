package invariant

import (
	"log/slog"
	"sync/atomic"

	"frostlink/internal/logkey"
)

// LogMessage is the message under which violations are logged. Its attribute logkey.Kind names the
// invariant.
const LogMessage = "invariant violated"

// Counts has the violations of a process by kind. It is safe for concurrent use; the zero value has none.
type Counts struct{ counts [kindCount]atomic.Int64 }

// Record counts and logs a violation. args are further attributes of the log line, as slog takes them.
func (c *Counts) Record(k Kind, requestID string, args ...any) {
	c.counts[k].Add(1)
	slog.Error(LogMessage, append([]any{logkey.Kind, k.String(), logkey.RequestID, requestID}, args...)...)
}

// ByKind returns the counts by the kinds' names, zeros too.
func (c *Counts) ByKind() map[string]int64 {
	byKind := make(map[string]int64, kindCount)
	for k, name := range kindNames {
		byKind[name] = c.counts[k].Load()
	}
	return byKind
}
