package deadletter

import (
	"encoding/json"
	"fmt"
	"net/http"
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
	// Changed tells the relay that a message was given to it to redeliver; nil on a stopped one's folder.
	Changed func()
}

// SetClasses has the classes be others from now on.
func (a *Admin) SetClasses(classes []Class) { a.newClasses.Store(&classes) }

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
	l.Messages, l.Next, l.Damaged, err = a.Store.Page(from, most, maxScanned, f.Matches)
	if l.Messages == nil {
		l.Messages = []*Record{}
	}
	return l, err
}

func (a *Admin) stats(*http.Request) (any, error) {
	t, groups, err := a.Store.Totals()
	return Stats{t, append([]Group{}, groups...), a.Store.Size()}, err
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
	case e.ID == "" || len(e.Incarnations) == 0 || e.Incarnations[0].ID != e.ID:
		return nil, fmt.Errorf("%w: no message with a history", errBadRequest)
	}
	e.Due = time.Time{}
	if _, err := a.Store.Get(e.ID); err == nil {
		return map[string]bool{"kept": false}, nil
	}
	for i := range e.Attestations {
		e.Attestations[i].Used = true
	}
	if !e.State.Ended() {
		e.State, e.Reason, e.Since = Held, "imported", a.Now()
		e.Due = e.Since
	}
	return map[string]bool{"kept": true}, a.Store.Put([]Message{{e.Record, e.Body}})
}
