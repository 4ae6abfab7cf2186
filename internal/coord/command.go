package coord

import "time"

// Op is the operation of a command.
type Op string

// The operations.
const (
	OpOpen     Op = "open"     // open a session
	OpRenew    Op = "renew"    // renew a session; its result also says what the session holds
	OpClose    Op = "close"    // close a session, and end all that it holds
	OpAcquire  Op = "acquire"  // acquire a lease, or queue for it
	OpRelease  Op = "release"  // release a lease, or leave its queue
	OpTransfer Op = "handover" // release a lease to a queued session, by its name
	OpRevoke   Op = "revoke"   // revoke a lease of another session, as an operator
	OpPut      Op = "put"      // write a value if its revision is the expected one
	OpDelete   Op = "delete"   // delete a value if its revision is the expected one
)

// Command is what a client asks of the state machine. Those with an effect carry the session's next
// sequence number, so that a retry is not applied again.
type Command struct {
	Op               Op            `json:"op"`
	Session          uint64        `json:"session,omitempty"`
	Seq              uint64        `json:"seq,omitempty"`   // sequence number from 1; OpOpen, OpRenew and OpClose have none
	Nonce            string        `json:"nonce,omitempty"` // OpOpen: identifies the session before it has an id
	Name             string        `json:"name,omitempty"`  // OpOpen: of the client process, for people and for transfers
	TTL              time.Duration `json:"ttl,omitempty"`   // OpOpen: time to live of the session without a renewal
	Lease            string        `json:"lease,omitempty"`
	Token            uint64        `json:"token,omitempty"`  // fencing token of the grant that is meant
	To               string        `json:"to,omitempty"`     // OpTransfer: Name of the session that is to have the lease
	Reason           string        `json:"reason,omitempty"` // for people
	Key              string        `json:"key,omitempty"`
	Value            []byte        `json:"value,omitempty"`
	ExpectedRevision uint64        `json:"expect,omitempty"` // OpPut, OpDelete: of the value that stands; 0: there is none
}
