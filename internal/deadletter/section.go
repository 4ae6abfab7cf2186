package deadletter

import (
	"fmt"
	"slices"

	"frostlink/internal/strictconfig"
)

// Section is the section [undelivered] of the operator's file.
type Section struct {
	Folder       string  `toml:"folder,required"` // of the store; mode 0700
	QuotaMB      float64 `toml:"quota_mb"`        // of the store's file
	MaxMessages  int     `toml:"messages"`        // stored at most
	MaxAge       float64 `toml:"age_s"`           // since they were first accepted
	Export       bool    `toml:"export"`          // messages that exceed a bound are written to a file of the folder before they are removed
	KeepRejected bool    `toml:"refused"`         // store also messages that were rejected on arrival; else they are only counted
	Socket       string  `toml:"socket"`          // Unix socket for operators' requests; empty: none
	Bounds       []Bound `toml:"bound"`
	Rules        []Rule  `toml:"rule"`

	// ClientsResubmit says that clients submit again what was rejected or shed. Then payments, and whatever else is not
	// idempotent, are redelivered only where they failed for good, or with an attestation. True where it is left out.
	ClientsResubmit *bool `toml:"clients_return"`

	Subjects       []Subject `toml:"subject"`
	MaxSubjects    int       `toml:"subjects_most"`  // whose newest message is known
	StickySubjects bool      `toml:"subjects_stick"` // a subject always comes to the same relay
	// SubjectSettlingTime is how long after a class's subjects were first read a message may have a newer one that was
	// delivered before that, in seconds: by how much clients submit messages out of their order at most.
	SubjectSettlingTime float64 `toml:"subjects_settle_s"`
}

// Bound limits the messages of a class, of a tenant, or of a class of a tenant.
type Bound struct {
	Class       string  `toml:"class"`
	Tenant      string  `toml:"tenant"`
	MaxMessages int     `toml:"messages"`
	MaxMB       float64 `toml:"mb"`
	MaxAge      float64 `toml:"age_s"`
}

// Subject is where in a class's messages their subject is, and their order among those of the same subject.
type Subject struct {
	Class   string `json:"Class" toml:"class,required"`
	Header  string `json:"Header" toml:"header"`   // of the request, or
	Pointer string `json:"Pointer" toml:"pointer"` // into a JSON body (RFC 6901)
	Order   string `json:"Order" toml:"order"`     // number, time (RFC 3339) or arrival
	// Where the order is, unless it is arrival.
	OrderHeader  string `json:"OrderHeader" toml:"order_header"`
	OrderPointer string `json:"OrderPointer" toml:"order_pointer"`
}

// The orders of a subject's messages.
const (
	byNumber  = "number"
	byTime    = "time"
	byArrival = "arrival"
)

// Defaults of a section: for a store on a disk of its own, and as many subjects as take some 30 MB.
const (
	defaultQuotaMB      = 1024
	defaultMaxMessages  = 1_000_000
	defaultMaxSubjects  = 200_000
	defaultSettlingTime = 600.0 // seconds
)

// minQuotaMB is the smallest quota that is accepted.
const minQuotaMB = 0.25

// Check fills in defaults, and adds the section's faults to those of its document; at is its key.
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
			d.AddError(key+".class", "%q has a subject already", s.Subjects[i].Class)
		}
		seen[s.Subjects[i].Class] = true
	}
}

// checkValues adds values that are out of range.
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
		d.AddError(at+".messages", "%d keeps none: leave the section out to keep none", s.MaxMessages)
	}
	if s.MaxAge < 0 {
		d.AddError(at+".age_s", "%v is below 0", s.MaxAge)
	}
	if s.MaxSubjects < 1 {
		d.AddError(at+".subjects_most", "%d is below 1", s.MaxSubjects)
	}
}

// check adds the faults of a bound to those of its document.
func (b *Bound) check(d *strictconfig.Document, at string) {
	if b.Class == "" && b.Tenant == "" {
		d.AddError(at, "names neither a class nor a tenant")
	}
	if b.MaxMessages <= 0 && b.MaxMB <= 0 && b.MaxAge <= 0 {
		d.AddError(at, "bounds nothing: messages, mb or age_s, above 0")
	}
	if b.MaxMessages < 0 || b.MaxMB < 0 || b.MaxAge < 0 {
		d.AddError(at, "messages, mb and age_s are above 0 where they are given")
	}
}

// check adds the faults of a subject to those of its document.
func (s *Subject) check(d *strictconfig.Document, at string) {
	checkPlace := func(header, pointer, headerKey, pointerKey string) {
		if (header == "") == (pointer == "") {
			d.AddError(at+"."+headerKey, "either %s or %s says where it is", headerKey, pointerKey)
		}
		if pointer != "" {
			if _, err := pointerTokens(pointer); err != nil {
				d.AddError(at+"."+pointerKey, "%v", err)
			}
		}
	}
	checkPlace(s.Header, s.Pointer, "header", "pointer")
	if !slices.Contains([]string{byNumber, byTime, byArrival}, s.Order) {
		d.AddError(at+".order", "%q is none of number, time, arrival", s.Order)
		return
	}
	if s.Order != byArrival {
		checkPlace(s.OrderHeader, s.OrderPointer, "order_header", "order_pointer")
	} else if s.OrderHeader != "" || s.OrderPointer != "" {
		d.AddError(at+".order", "by arrival, and yet a place for it is named")
	}
}
