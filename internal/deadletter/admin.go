package deadletter

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// defaultPage and mostPage are how many messages a page has, and lookPage how many are looked at for it, so that a
	// filter that few pass does not hold up the store.
	defaultPage, maxPage, maxScanned = 100, 10_000, 200_000
	// maxRequestBody bounds what a tool sends, in bytes: an import brings one message a request.
	maxRequestBody = 1 << 20
)

// Filter says which messages are meant. What it leaves out matches anything.
type Filter struct {
	Class, Tenant string
	Partner       *int
	Reason        Reason
	State         State
	MayHaveRun    *bool
}

// Passes tells whether a message is meant.
func (f *Filter) Passes(r *Record) bool {
	switch {
	case f.Class != "" && f.Class != r.Class,
		f.Tenant != "" && f.Tenant != r.Tenant,
		f.Partner != nil && *f.Partner != r.Partner,
		f.Reason != "" && f.Reason != r.Last().Reason,
		f.State != "" && f.State != r.State,
		f.MayHaveRun != nil && *f.MayHaveRun != (r.MayHaveRun() != nil):
		return false
	}
	return true
}

// Query writes a filter as the parameters of a request.
func (f *Filter) Query() url.Values {
	q := url.Values{}
	set := func(name, v string) {
		if v != "" {
			q.Set(name, v)
		}
	}
	set("class", f.Class)
	set("tenant", f.Tenant)
	set("reason", string(f.Reason))
	set("state", string(f.State))
	if f.Partner != nil {
		set("partner", strconv.Itoa(*f.Partner))
	}
	if f.MayHaveRun != nil {
		set("may_have_run", strconv.FormatBool(*f.MayHaveRun))
	}
	return q
}

// ParseFilter reads a filter from the parameters of a request.
func ParseFilter(q url.Values) (*Filter, error) {
	f := &Filter{Class: q.Get("class"), Tenant: q.Get("tenant"), Reason: Reason(q.Get("reason")), State: State(q.Get("state"))}
	if f.Reason != "" && !slices.Contains(reasons, f.Reason) {
		return nil, fmt.Errorf("reason: %q is none of %v", f.Reason, reasons)
	}
	if states := []State{Held, Due, Out, Delivered, Superseded, Discarded}; f.State != "" && !slices.Contains(states, f.State) {
		return nil, fmt.Errorf("state: %q is none of %v", f.State, states)
	}
	if v := q.Get("partner"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return nil, fmt.Errorf("partner: %q is no number", v)
		}
		f.Partner = &n
	}
	if v := q.Get("may_have_run"); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return nil, fmt.Errorf("may_have_run: %q is neither true nor false", v)
		}
		f.MayHaveRun = &b
	}
	return f, nil
}

// Listing is a page of messages.
type Listing struct {
	Messages []*Record `json:"messages"`
	Next     uint64    `json:"next,omitempty"` // where the next page begins; 0: this was the last
	Damaged  int       `json:"damaged,omitempty"`
}

// Stats are what the store holds.
type Stats struct {
	*Totals
	Groups []Group `json:"groups"`
	File   int64   `json:"file_bytes"`
}

// Verified is what Verify found.
type Verified struct {
	Good   int     `json:"good"`
	Faults []Fault `json:"faults"`
}

// Command is what an operator wants done with a message, and who wants it.
type Command struct {
	By       string `json:"by"`
	Why      string `json:"why,omitempty"`
	Evidence string `json:"evidence,omitempty"`
}

// Exported is a message as it is exported and imported: a line of JSON.
type Exported struct {
	Record
	Body []byte `json:"body"`
}

// Admin serves the tool, over the relay's Unix socket or on a stopped relay's folder alike: what it answers is JSON.
type Admin struct {
	Store *Store
	Now   func() time.Time
	// Classes are the relay's; nil on a stopped one's folder.
	Classes []Class
	// newClasses are those of new settings.
	newClasses atomic.Pointer[[]Class]
	// Changed tells the relay that a message was given to it to resend; nil on a stopped one's folder.
	Changed func()
}

// Reclass has the classes be others from now on.
func (a *Admin) Reclass(classes []Class) { a.newClasses.Store(&classes) }

// conflictError says that a command is not done, with the reason.
type conflictError struct{ error }

// Handler answers the tool's requests.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, do func(r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			v, err := do(r)
			w.Header().Set("Content-Type", "application/json")
			if err != nil {
				w.WriteHeader(status(err))
				v = map[string]string{"error": err.Error()}
			}
			_ = json.NewEncoder(w).Encode(v) // the tool has gone
		})
	}
	handle("GET /messages", a.list)
	handle("GET /messages/{id}", func(r *http.Request) (any, error) { return a.Store.Get(r.PathValue("id")) })
	handle("GET /messages/{id}/body", func(r *http.Request) (any, error) {
		body, err := a.Store.Body(r.PathValue("id"))
		return map[string][]byte{"body": body}, err
	})
	handle("POST /messages/{id}/{what}", a.command)
	handle("POST /import", a.importMessage)
	handle("POST /check", a.check)
	handle("GET /stats", a.stats)
	handle("GET /verify", func(*http.Request) (any, error) {
		good, faults := a.Store.Verify()
		return Verified{good, append([]Fault{}, faults...)}, nil
	})
	return mux
}

// status is the HTTP status of an error.
func status(err error) int {
	refused := conflictError{}
	switch {
	case errors.Is(err, ErrUnknown):
		return http.StatusNotFound
	case errors.As(err, &refused):
		return http.StatusConflict
	case errors.Is(err, ErrFull):
		return http.StatusInsufficientStorage
	case errors.Is(err, errBadRequest):
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

var errBadRequest = errors.New("bad request")

func (a *Admin) list(r *http.Request) (any, error) {
	q := r.URL.Query()
	f, err := ParseFilter(q)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	most := defaultPage
	if v := q.Get("most"); v != "" {
		if most, err = strconv.Atoi(v); err != nil || most < 1 || most > maxPage {
			return nil, fmt.Errorf("%w: most: %q is not from 1 to %d", errBadRequest, v, maxPage)
		}
	}
	from := uint64(0)
	if v := q.Get("from"); v != "" {
		if from, err = strconv.ParseUint(v, 10, 64); err != nil {
			return nil, fmt.Errorf("%w: from: %q is no number", errBadRequest, v)
		}
	}
	l := &Listing{}
	l.Messages, l.Next, l.Damaged, err = a.Store.Page(from, most, maxScanned, f.Passes)
	if l.Messages == nil {
		l.Messages = []*Record{}
	}
	return l, err
}

func (a *Admin) stats(*http.Request) (any, error) {
	t, groups, err := a.Store.Totals()
	return Stats{t, append([]Group{}, groups...), a.Store.Size()}, err
}

// command does what an operator wants done with a message.
func (a *Admin) command(r *http.Request) (any, error) {
	var o Command
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBody)).Decode(&o); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	if o.By == "" {
		return nil, fmt.Errorf("%w: nobody is named", errBadRequest)
	}
	now := a.Now()
	var after Record
	err := a.Store.Change(r.PathValue("id"), func(rec *Record) (time.Time, error) {
		due, err := o.apply(r.PathValue("what"), rec, now)
		after = *rec
		return due, err
	})
	if err != nil {
		return nil, err
	}
	if a.Changed != nil {
		a.Changed()
	}
	return after, nil
}

// apply changes a record as a command says, and gives when to look at it again.
func (o *Command) apply(what string, r *Record, now time.Time) (due time.Time, err error) {
	refuse := func(format string, args ...any) (time.Time, error) {
		return r.Due, conflictError{fmt.Errorf("%s: "+format, append([]any{r.ID}, args...)...)}
	}
	if r.State.Ended() {
		return refuse("it is %s already: %s", r.State, r.Why)
	}
	if r.State == Out {
		return refuse("it is being resent at this moment")
	}
	set := func(s State, why string) { r.State, r.Why, r.Since = s, why, now }
	switch what {
	case "hold":
		r.Kept, r.Asked = true, false
		set(Held, "held by "+o.By+suffix(o.Why))
		return time.Time{}, nil
	case "discard":
		if o.Why == "" {
			return refuse("a discard says why")
		}
		set(Discarded, "discarded by "+o.By+suffix(o.Why))
		return time.Time{}, nil
	case "resend":
		r.Kept, r.Asked = false, true
		set(Due, "to be resent, asked for by "+o.By+suffix(o.Why))
		return now, nil
	case "attest":
		if o.Evidence == "" {
			return refuse("an attest names its evidence")
		}
		if r.unusedAttestation() != nil {
			return refuse("an attest for it is there already, and serves for one resend")
		}
		r.Attests = append(r.Attests, Attest{By: o.By, Evidence: o.Evidence, At: now})
		return now, nil // a rule may want it now
	}
	return r.Due, fmt.Errorf("%w: nothing is called %q", errBadRequest, what)
}

func suffix(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

// importMessage takes a message in that was exported from another store. It is held until a rule or an operator says else,
// and what was attested for it elsewhere counts as used: an attest serves where it was given.
func (a *Admin) importMessage(r *http.Request) (any, error) {
	var e Exported
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBody)).Decode(&e); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	switch {
	case e.Version > Version:
		return nil, fmt.Errorf("%w: version %d is newer than this program's, %d", errBadRequest, e.Version, Version)
	case e.ID == "" || len(e.Lives) == 0 || e.Lives[0].ID != e.ID:
		return nil, fmt.Errorf("%w: no message with a history", errBadRequest)
	}
	e.Due = time.Time{}
	if _, err := a.Store.Get(e.ID); err == nil {
		return map[string]bool{"kept": false}, nil
	}
	for i := range e.Attests {
		e.Attests[i].Used = true
	}
	if !e.State.Ended() {
		e.State, e.Why, e.Since = Held, "imported", a.Now()
		e.Due = e.Since
	}
	return map[string]bool{"kept": true}, a.Store.Put([]Kept{{e.Record, e.Body}})
}
