package coord

import "time"

// Op is the operation of a command.
type Op string

// The operations.
const (
	OpOpen     Op = "open"     // open a session
	OpRenew    Op = "renew"    // renew a session; the result lists the leases that the session holds
	OpClose    Op = "close"    // close a session, and end its grants and queued requests
	OpAcquire  Op = "acquire"  // acquire a lease, or join its queue
	OpRelease  Op = "release"  // release a lease, or leave its queue
	OpTransfer Op = "handover" // transfer a lease to the first queued session with a given name
	OpRevoke   Op = "revoke"   // revoke a lease of another session, on behalf of an operator
	OpPut      Op = "put"      // write a value if its current revision is the expected one
	OpDelete   Op = "delete"   // delete a value if its current revision is the expected one
)

// Command is a client's command to the state machine. Every command but OpOpen, OpRenew and OpClose
// carries the session's next sequence number, so that a retry is not applied again.
type Command struct {
	Op               Op            `json:"op"`
	Session          uint64        `json:"session,omitempty"`
	Seq              uint64        `json:"seq,omitempty"`   // sequence number from 1; 0 for OpOpen, OpRenew and OpClose
	Nonce            string        `json:"nonce,omitempty"` // OpOpen: chosen by the client; identifies the session when OpOpen is retried
	Name             string        `json:"name,omitempty"`  // OpOpen: name of the client process, for operators and as the target of a transfer
	TTL              time.Duration `json:"ttl,omitempty"`   // OpOpen: how long the session lasts after a renewal
	Lease            string        `json:"lease,omitempty"`
	Token            uint64        `json:"token,omitempty"`  // fencing token of the grant that the command refers to
	To               string        `json:"to,omitempty"`     // OpTransfer: Name of the session that gets the lease
	Reason           string        `json:"reason,omitempty"` // shown to operators
	Key              string        `json:"key,omitempty"`
	Value            []byte        `json:"value,omitempty"`
	ExpectedRevision uint64        `json:"expect,omitempty"` // OpPut, OpDelete: the revision that the current value must have; 0: there must be no value
}
