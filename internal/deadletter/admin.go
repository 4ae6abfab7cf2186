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
	// The default and the largest size of a page, in messages, and the largest number of messages scanned for a page. The
	// scan is limited so that a filter that matches few messages does not keep the store busy.
	defaultPageSize, maxPageSize, maxScanned = 100, 10_000, 200_000
	// maxRequestBody limits the body of a request, in bytes. It allows for one message, because an import sends each
	// message in its own request.
	maxRequestBody = 1 << 20
)

// Listing is a page of messages.
type Listing struct {
	Messages []*Record `json:"messages"`
	Next     uint64    `json:"next,omitempty"` // number of the record at which the next page begins; 0: this is the last page
	Damaged  int       `json:"damaged,omitempty"`
}

// Stats describes the content of a store.
type Stats struct {
	*Totals
	Groups []Group `json:"groups"`
	File   int64   `json:"file_bytes"`
}

// Verified is the result of Store.Verify.
type Verified struct {
	Good   int     `json:"good"`
	Faults []Fault `json:"faults"`
}

// Exported is the form in which a message is exported and imported: one line of JSON.
type Exported struct {
	Record
	Body []byte `json:"body"`
}

// Admin serves operators' requests, over the Unix socket of a running relay or for the folder of a stopped one. Its
// responses are JSON.
type Admin struct {
	Store *Store
	Now   func() time.Time
	// Classes are the classes of the relay; nil for the folder of a stopped relay.
	Classes []Class
	// newClasses replaces Classes after the settings were reloaded.
	newClasses atomic.Pointer[[]Class]
	// Changed notifies the relay that a command has changed a message; nil for the folder of a stopped relay.
	Changed func()
}

// SetClasses replaces the classes. It may be called while requests are served.
func (a *Admin) SetClasses(classes []Class) { a.newClasses.Store(&classes) }

// Handler returns the handler of operators' requests.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, respond func(r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			response, err := respond(r)
			w.Header().Set("Content-Type", "application/json")
			if err != nil {
				w.WriteHeader(status(err))
				response = map[string]string{"error": err.Error()}
			}
			_ = json.NewEncoder(w).Encode(response) // fails if the client has disconnected
		})
	}
	handle("GET /messages", a.list)
	handle("GET /messages/{id}", func(r *http.Request) (any, error) { return a.Store.Get(r.PathValue("id")) })
	handle("GET /messages/{id}/body", func(r *http.Request) (any, error) {
		body, err := a.Store.Body(r.PathValue("id"))
		return map[string][]byte{"body": body}, err
	})
	handle("POST /messages/{id}/{command}", a.command)
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
	query := r.URL.Query()
	filter, err := ParseFilter(query)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	limit := defaultPageSize
	if v := query.Get("most"); v != "" {
		if limit, err = strconv.Atoi(v); err != nil || limit < 1 || limit > maxPageSize {
			return nil, fmt.Errorf("%w: most: %q is not from 1 to %d", errBadRequest, v, maxPageSize)
		}
	}
	from := uint64(0)
	if v := query.Get("from"); v != "" {
		if from, err = strconv.ParseUint(v, 10, 64); err != nil {
			return nil, fmt.Errorf("%w: from: %q is no number", errBadRequest, v)
		}
	}
	listing := &Listing{}
	listing.Messages, listing.Next, listing.Damaged, err = a.Store.Page(from, limit, maxScanned, filter.Matches)
	if listing.Messages == nil {
		listing.Messages = []*Record{} // never null in JSON
	}
	return listing, err
}

func (a *Admin) stats(*http.Request) (any, error) {
	totals, groups, err := a.Store.Totals()
	return Stats{totals, append([]Group{}, groups...), a.Store.Size()}, err
}

// importMessage stores a message that was exported from another store. The message is held until a rule or an operator
// decides otherwise. Its attestations are marked as used, because an attestation is valid only in the store in which it was
// made. A redelivery that was in flight at the export may have been executed.
func (a *Admin) importMessage(r *http.Request) (any, error) {
	var message Exported
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBody)).Decode(&message); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	switch {
	case message.Version > Version:
		return nil, fmt.Errorf("%w: version %d is newer than this program's, %d", errBadRequest, message.Version, Version)
	case message.ID == "" || len(message.Incarnations) == 0 || message.Incarnations[0].ID != message.ID:
		return nil, fmt.Errorf("%w: no message with a history", errBadRequest)
	}
	message.Due = time.Time{}
	if _, err := a.Store.Get(message.ID); err == nil {
		return map[string]bool{"kept": false}, nil
	}
	for i := range message.Attestations {
		message.Attestations[i].Used = true
	}
	if message.State == Redelivering { // the redelivery's result will not come to this store
		*message.Last() = message.Last().lost(a.Now())
	}
	if !message.State.Ended() {
		message.State, message.Reason, message.Since = Held, "imported", a.Now()
		message.Due = message.Since
	}
	return map[string]bool{"kept": true}, a.Store.Put([]Message{{message.Record, message.Body}})
}
