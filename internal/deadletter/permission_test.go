package deadletter

import (
	"testing"
	"time"
)

func TestAllowed_DecidesByIdempotencyAndAttempts(t *testing.T) {
	attested := func(r *Record) *Record {
		r.Attestations = append(r.Attestations, Attestation{By: "Amina", Evidence: "ledger 7", At: noon.Add(-time.Second)})
		return r
	}
	used := func(r *Record) *Record {
		attested(r).Attestations[0].Used = true
		return r
	}
	inState := func(r *Record, s State) *Record { r.State = s; return r }
	notExecutedSince := newRecord(newIncarnation("a", OutcomeUnknown, attemptAgo(50*time.Second, ExecutionUnknown)), newIncarnation("b", AttemptsExhausted, attemptAgo(20*time.Second, NotExecuted)))
	notExecutedSince.Incarnations[1].Attestation = &Attestation{By: "Amina"}
	maybeExecutedSince := newRecord(newIncarnation("a", OutcomeUnknown, attemptAgo(50*time.Second, ExecutionUnknown)), newIncarnation("b", OutcomeUnknown, attemptAgo(20*time.Second, ExecutionUnknown)))
	maybeExecutedSince.Incarnations[1].Attestation = &Attestation{By: "Amina"}
	for name, c := range map[string]struct {
		idempotency Idempotency
		record      *Record
		now         time.Time
		want        bool
	}{
		"idempotent, may have been executed":                           {Idempotent, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(20*time.Second, ExecutionUnknown))), noon, true},
		"idempotent, attempts exhausted":                               {Idempotent, newRecord(newIncarnation("a", AttemptsExhausted, make([]Attempt, 12)...)), noon, false},
		"idempotent, attempts exhausted over two incarnations":         {Idempotent, newRecord(newIncarnation("a", AttemptsExhausted, make([]Attempt, 6)...), newIncarnation("b", AttemptsExhausted, make([]Attempt, 6)...)), noon, false},
		"idempotent, clock set back":                                   {Idempotent, newRecord(newIncarnation("a", DeadlineExceeded)), noon.Add(-time.Hour), false},
		"idempotent, in flight":                                        {Idempotent, inState(newRecord(newIncarnation("a", DeadlineExceeded)), Redelivering), noon, false},
		"idempotent, delivered":                                        {Idempotent, inState(newRecord(newIncarnation("a", DeadlineExceeded)), Delivered), noon, false},
		"keyed, not executed":                                          {IdempotentByKey, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(20*time.Second, NotExecuted))), noon, true},
		"keyed, within the key's TTL":                                  {IdempotentByKey, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(12*time.Second, ExecutionUnknown))), noon, true},
		"keyed, at the end of the key's TTL":                           {IdempotentByKey, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(14*time.Second, ExecutionUnknown))), noon, false},
		"keyed, past the key's TTL":                                    {IdempotentByKey, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(16*time.Second, ExecutionUnknown))), noon, false},
		"keyed, TTL counts from the first attempt":                     {IdempotentByKey, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(20*time.Second, ExecutionUnknown), attemptAgo(5*time.Second, ExecutionUnknown))), noon, false},
		"keyed, first attempt in an earlier incarnation":               {IdempotentByKey, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(20*time.Second, ExecutionUnknown)), newIncarnation("b", AttemptsExhausted, attemptAgo(5*time.Second, NotExecuted))), noon, false},
		"keyed, executed":                                              {IdempotentByKey, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(5*time.Second, Executed))), noon, false},
		"keyed, past the key's TTL, attested":                          {IdempotentByKey, attested(newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(16*time.Second, ExecutionUnknown)))), noon, true},
		"keyed, past the key's TTL, attestation used":                  {IdempotentByKey, used(newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(16*time.Second, ExecutionUnknown)))), noon, false},
		"not idempotent, not executed":                                 {NotIdempotent, newRecord(newIncarnation("a", DeadlineExceeded, attemptAgo(20*time.Second, NotExecuted))), noon, true},
		"not idempotent, may have been executed":                       {NotIdempotent, newRecord(newIncarnation("a", OutcomeUnknown, attemptAgo(time.Second, ExecutionUnknown))), noon, false},
		"not idempotent, attested":                                     {NotIdempotent, attested(newRecord(newIncarnation("a", OutcomeUnknown, attemptAgo(time.Second, ExecutionUnknown)))), noon, true},
		"not idempotent, not executed since the attestation":           {NotIdempotent, notExecutedSince, noon, true},
		"not idempotent, may have been executed since the attestation": {NotIdempotent, maybeExecutedSince, noon, false},
		"attempts exhausted, attested":                                 {NotIdempotent, attested(newRecord(newIncarnation("a", AttemptsExhausted, make([]Attempt, 12)...))), noon, false},
		"not idempotent, attempt without Execution":                    {NotIdempotent, newRecord(newIncarnation("a", ProcessEnded, Attempt{Endpoint: "h", StartedAt: noon.Add(-time.Second)})), noon, false},
	} {
		t.Run(name, func(t *testing.T) {
			if permission := Allowed(testClass(c.idempotency), c.record, nil, c.now); permission.Allowed != c.want || permission.Reason == "" {
				t.Errorf("got %+v, want allowed %v", permission, c.want)
			}
		})
	}
}

// A client may submit a rejected message again, to any relay. Unless its class is idempotent, the message is redelivered only
// with an attestation.
func TestAllowed_DeniesWhatClientMayHaveResubmitted(t *testing.T) {
	for name, c := range map[string]struct {
		idempotency     Idempotency
		status          string
		clientsResubmit bool
		attested        bool
		want            bool
	}{
		"keyed, rejected":                          {IdempotentByKey, deferred, true, false, false},
		"not idempotent, rejected":                 {NotIdempotent, deferred, true, false, false},
		"idempotent, rejected":                     {Idempotent, deferred, true, false, true},
		"keyed, rejected, clients do not resubmit": {IdempotentByKey, deferred, false, false, true},
		"keyed, failed for good":                   {IdempotentByKey, "undeliverable", true, false, true},
		"keyed, rejected, attested":                {IdempotentByKey, deferred, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			class := testClass(c.idempotency)
			class.ClientsResubmit = c.clientsResubmit
			r := newRecord(newIncarnation("a", ShedAfterAcceptance, attemptAgo(20*time.Second, NotExecuted)))
			r.Incarnations[0].Status = c.status
			if c.attested {
				r.Attestations = []Attestation{{By: "Amina", Evidence: "ledger", At: noon.Add(-time.Second)}}
			}
			permission := Allowed(class, r, nil, noon)
			if permission.Allowed != c.want || permission.Reason == "" || c.attested != (permission.Attestation != nil) {
				t.Errorf("unexpected permission %+v", permission)
			}
		})
	}
}
