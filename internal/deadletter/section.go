package deadletter

import (
	"fmt"
	"slices"

	"frostlink/internal/strictconfig"
)

// Section is the section [undelivered] of the operator's file.
type Section struct {
	Folder       string  `toml:"folder,required"` // folder of the store; created with mode 0700
	QuotaMB      float64 `toml:"quota_mb"`        // limit of the store's file
	MaxMessages  int     `toml:"messages"`        // limit on the number of stored messages
	MaxAge       float64 `toml:"age_s"`           // in seconds since a message was first accepted; 0: unlimited
	Export       bool    `toml:"export"`          // write messages that exceed a bound to a file in the folder before they are removed
	KeepRejected bool    `toml:"refused"`         // store messages that were rejected on arrival, instead of only counting them
	Socket       string  `toml:"socket"`          // path of the Unix socket for operators' requests; empty: no socket
	Bounds       []Bound `toml:"bound"`
	Rules        []Rule  `toml:"rule"`

	// ClientsResubmit says that clients submit rejected and shed messages again. If it is set, messages that are not
	// idempotent, such as payments, are redelivered only if they failed for good or an operator has attested them. If the
	// key is absent, it counts as true.
	ClientsResubmit *bool `toml:"clients_return"`

	Subjects       []Subject `toml:"subject"`
	MaxSubjects    int       `toml:"subjects_most"`  // limit on the topics whose newest message is tracked
	StickySubjects bool      `toml:"subjects_stick"` // all messages of a subject are submitted to the same relay
	// SubjectSettlingTime is the longest time, in seconds, by which clients submit messages of a subject out of order. If a
	// message was accepted within this time after a class's subjects were first read, a newer message may have been
	// delivered before that, without its subject being read. The message is therefore not redelivered.
	SubjectSettlingTime float64 `toml:"subjects_settle_s"`
}

// Bound limits the stored messages of a class, of a tenant, or of one class of a tenant.
type Bound struct {
	Class       string  `toml:"class"`
	Tenant      string  `toml:"tenant"`
	MaxMessages int     `toml:"messages"`
	MaxMB       float64 `toml:"mb"`
	MaxAge      float64 `toml:"age_s"`
}

// Subject defines where the messages of a class contain their subject, and their order among the messages of that subject.
type Subject struct {
	Class   string `json:"Class" toml:"class,required"`
	Header  string `json:"Header" toml:"header"`   // request header that contains the subject; empty: Pointer is set
	Pointer string `json:"Pointer" toml:"pointer"` // JSON pointer (RFC 6901) to the subject in the body; empty: Header is set
	Order   string `json:"Order" toml:"order"`     // number, time (RFC 3339) or arrival
	// The header or the JSON pointer that contains the number or time. Both are empty if the order is arrival.
	OrderHeader  string `json:"OrderHeader" toml:"order_header"`
	OrderPointer string `json:"OrderPointer" toml:"order_pointer"`
}

// The values of Subject.Order.
const (
	byNumber  = "number"
	byTime    = "time"
	byArrival = "arrival"
)

// Defaults of a section. The store is assumed to have a disk of its own, and defaultMaxSubjects subjects
// take about 30 MB.
const (
	defaultQuotaMB      = 1024
	defaultMaxMessages  = 1_000_000
	defaultMaxSubjects  = 200_000
	defaultSettlingTime = 600.0 // seconds
)

// minQuotaMB is the smallest quota that is accepted.
const minQuotaMB = 0.25

// Check sets defaults, and adds the section's errors to its document; at is the section's key in the document.
func (s *Section) Check(d *strictconfig.Document, at string) {
	if !d.Has(at + ".quota_mb") {
		s.QuotaMB = defaultQuotaMB
	}
	if !d.Has(at + ".messages") {
		s.MaxMessages = defaultMaxMessages
	}
	if !d.Has(at + ".subjects_most") {
		s.MaxSubjects = defaultMaxSubjects
	}
	if !d.Has(at + ".subjects_settle_s") {
		s.SubjectSettlingTime = defaultSettlingTime
	}
	s.checkValues(d, at)
	for i := range s.Bounds {
		s.Bounds[i].check(d, fmt.Sprintf("%s.bound[%d]", at, i+1))
	}
	for i := range s.Rules {
		s.Rules[i].Check(d, fmt.Sprintf("%s.rule[%d]", at, i+1))
	}
	seen := map[string]bool{}
	for i := range s.Subjects {
		key := fmt.Sprintf("%s.subject[%d]", at, i+1)
		s.Subjects[i].check(d, key)
		if seen[s.Subjects[i].Class] {
			d.AddError(key+".class", "a subject of class %q is defined already", s.Subjects[i].Class)
		}
		seen[s.Subjects[i].Class] = true
	}
}

// checkValues adds an error for each value that is out of range.
func (s *Section) checkValues(d *strictconfig.Document, at string) {
	if s.SubjectSettlingTime < 0 {
		d.AddError(at+".subjects_settle_s", "%v is below 0", s.SubjectSettlingTime)
	}
	if d.Has(at+".folder") && s.Folder == "" {
		d.AddError(at+".folder", "is empty")
	}
	if s.QuotaMB < minQuotaMB {
		d.AddError(at+".quota_mb", "%v is below %v", s.QuotaMB, minQuotaMB)
	}
	if s.MaxMessages < 1 {
		d.AddError(at+".messages", "%d is below 1; to store no messages, leave the section out", s.MaxMessages)
	}
	if s.MaxAge < 0 {
		d.AddError(at+".age_s", "%v is below 0", s.MaxAge)
	}
	if s.MaxSubjects < 1 {
		d.AddError(at+".subjects_most", "%d is below 1", s.MaxSubjects)
	}
}

// check adds the errors of a bound to its document.
func (b *Bound) check(d *strictconfig.Document, at string) {
	if b.Class == "" && b.Tenant == "" {
		d.AddError(at, "names neither a class nor a tenant: at least one is required")
	}
	if b.MaxMessages <= 0 && b.MaxMB <= 0 && b.MaxAge <= 0 {
		d.AddError(at, "sets no limit: one of messages, mb and age_s must be above 0")
	}
	if b.MaxMessages < 0 || b.MaxMB < 0 || b.MaxAge < 0 {
		d.AddError(at, "messages, mb and age_s must not be below 0")
	}
}

// check adds the errors of a subject to its document.
func (s *Subject) check(d *strictconfig.Document, at string) {
	checkSource := func(header, pointer, headerKey, pointerKey string) {
		if (header == "") == (pointer == "") {
			d.AddError(at+"."+headerKey, "exactly one of %s and %s must be set", headerKey, pointerKey)
		}
		if pointer != "" {
			if _, err := pointerTokens(pointer); err != nil {
				d.AddError(at+"."+pointerKey, "%v", err)
			}
		}
	}
	checkSource(s.Header, s.Pointer, "header", "pointer")
	if !slices.Contains([]string{byNumber, byTime, byArrival}, s.Order) {
		d.AddError(at+".order", "%q is none of number, time, arrival", s.Order)
		return
	}
	if s.Order != byArrival {
		checkSource(s.OrderHeader, s.OrderPointer, "order_header", "order_pointer")
	} else if s.OrderHeader != "" || s.OrderPointer != "" {
		d.AddError(at+".order", "is arrival, which allows neither order_header nor order_pointer")
	}
}
