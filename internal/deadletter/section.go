package deadletter

import (
	"fmt"
	"slices"

	"frostlink/internal/strictconfig"
)

// Section is [undelivered] of the operator's file.
type Section struct {
	Folder       string  `toml:"folder,required"` // of the store; mode 0700
	QuotaMB      float64 `toml:"quota_mb"`        // of the store's file
	MaxMessages  int     `toml:"messages"`        // kept at most
	MaxAge       float64 `toml:"age_s"`           // since they were first accepted
	Export       bool    `toml:"export"`          // what leaves by a bound goes into a file of the folder first
	KeepRejected bool    `toml:"refused"`         // keep also what was refused at arrival; else it is counted
	Socket       string  `toml:"socket"`          // Unix socket of the running relay's tool; empty: none
	Bounds       []Bound `toml:"bound"`
	Rules        []Rule  `toml:"rule"`

	// ClientsResubmit says that clients come again with what was handed back to them. Then payments and what else may not
	// be repeated at will are redelivered only where they were given up for good, or on an attest. True where it is left out.
	ClientsResubmit *bool `toml:"clients_return"`

	Subjects       []Subject `toml:"subject"`
	MaxSubjects    int       `toml:"subjects_most"`  // whose newest is known
	StickySubjects bool      `toml:"subjects_stick"` // a subject always comes to the same relay
	// SubjectSettlingTime is how long after a subject's messages were first read a newer one may still have been delivered
	// before, in seconds: how far out of their order clients hand them in at most.
	SubjectSettlingTime float64 `toml:"subjects_settle_s"`
}

// Bound is a further bound, on a class, a tenant, or a class of a tenant.
type Bound struct {
	Class       string  `toml:"class"`
	Tenant      string  `toml:"tenant"`
	MaxMessages int     `toml:"messages"`
	MaxMB       float64 `toml:"mb"`
	MaxAge      float64 `toml:"age_s"`
}

// Subject says where a class's messages tell what they are about, and which of two is the newer.
type Subject struct {
	Class   string `json:"Class" toml:"class,required"`
	Header  string `json:"Header" toml:"header"`   // of the request, or
	Pointer string `json:"Pointer" toml:"pointer"` // into a JSON body (RFC 6901)
	Order   string `json:"Order" toml:"order"`     // number, time (RFC 3339) or arrival
	// Where the order stands, unless it is arrival.
	OrderHeader  string `json:"OrderHeader" toml:"order_header"`
	OrderPointer string `json:"OrderPointer" toml:"order_pointer"`
}

// The orders of a subject's messages.
const (
	byNumber  = "number"
	byTime    = "time"
	byArrival = "arrival"
)

// Defaults of a section: a bounded store on a disk of its own, and as many subjects as take some 30 MB.
const (
	defaultQuotaMB  = 1024
	defaultMessages = 1_000_000
	defaultSubjects = 200_000
	defaultSettle   = 600.0
	leastQuotaMB    = 0.25
)

// Check fills in defaults and reports what is wrong; at is the section's key.
func (s *Section) Check(d *strictconfig.Document, at string) {
	if !d.Has(at + ".quota_mb") {
		s.QuotaMB = defaultQuotaMB
	}
	if !d.Has(at + ".messages") {
		s.MaxMessages = defaultMessages
	}
	if !d.Has(at + ".subjects_most") {
		s.MaxSubjects = defaultSubjects
	}
	if !d.Has(at + ".subjects_settle_s") {
		s.SubjectSettlingTime = defaultSettle
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

// checkValues reports values out of range.
func (s *Section) checkValues(d *strictconfig.Document, at string) {
	if s.SubjectSettlingTime < 0 {
		d.AddError(at+".subjects_settle_s", "%v is below 0", s.SubjectSettlingTime)
	}
	if d.Has(at+".folder") && s.Folder == "" {
		d.AddError(at+".folder", "is empty")
	}
	if s.QuotaMB < leastQuotaMB {
		d.AddError(at+".quota_mb", "%v is below %v", s.QuotaMB, leastQuotaMB)
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

// check reports what is wrong with a bound at a key of the file.
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

// check reports what is wrong with a subject at a key of the file.
func (s *Subject) check(d *strictconfig.Document, at string) {
	one := func(header, pointer, headerKey, pointerKey string) {
		if (header == "") == (pointer == "") {
			d.AddError(at+"."+headerKey, "either %s or %s says where it is", headerKey, pointerKey)
		}
		if pointer != "" {
			if _, err := pointerTokens(pointer); err != nil {
				d.AddError(at+"."+pointerKey, "%v", err)
			}
		}
	}
	one(s.Header, s.Pointer, "header", "pointer")
	if !slices.Contains([]string{byNumber, byTime, byArrival}, s.Order) {
		d.AddError(at+".order", "%q is none of number, time, arrival", s.Order)
		return
	}
	if s.Order != byArrival {
		one(s.OrderHeader, s.OrderPointer, "order_header", "order_pointer")
	} else if s.OrderHeader != "" || s.OrderPointer != "" {
		d.AddError(at+".order", "by arrival, and yet a place for it is named")
	}
}
