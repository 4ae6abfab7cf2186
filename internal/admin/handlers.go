package admin

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"

	"frostlink/internal/logkey"
)

// routes returns the handler of all requests.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.getStatus)
	mux.HandleFunc("GET /status/metrics", s.getMetrics)
	mux.HandleFunc("GET /status/resources", s.getResources)
	mux.HandleFunc("GET /status/invariants", s.getViolations)
	mux.HandleFunc("GET /status/extra-responses", s.getExtraResponses)
	mux.HandleFunc("GET /status/doubtful-responses", s.getDoubtfulResponses)
	mux.HandleFunc("POST /standby", s.postStandby)
	mux.HandleFunc("POST /active", s.postActive)
	return mux
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	serving, state := s.relay.Status()
	writeAnswer(w, serving, state)
}

func (s *Server) getMetrics(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.relay.Metrics) }

func (s *Server) getResources(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.relay.Resources)
}

// writeJSON writes the JSON that encoded returns.
func writeJSON(w http.ResponseWriter, encoded func() ([]byte, error)) {
	raw, err := encoded()
	if err != nil {
		slog.Error("metrics can't be encoded; request answered with status 503", logkey.Err, err)
		writeAnswer(w, false, "no figures")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(raw, '\n'))
}

func (s *Server) getViolations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"violations": s.relay.Violations()})
}

func (s *Server) getExtraResponses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"extra_responses": s.relay.ExtraResponses()})
}

func (s *Server) getDoubtfulResponses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"doubtful_responses": s.relay.DoubtfulResponses()})
}

func (s *Server) postStandby(w http.ResponseWriter, _ *http.Request) {
	s.relay.Standby()
	writeAnswer(w, true, "standing by")
}

func (s *Server) postActive(w http.ResponseWriter, _ *http.Request) {
	s.relay.Active()
	writeAnswer(w, true, "active")
}

// writeAnswer writes "yes: TEXT" with status 200, or "no: TEXT" with status 503.
func writeAnswer(w http.ResponseWriter, yes bool, text string) {
	prefix := "yes: "
	if !yes {
		prefix = "no: "
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, prefix+text+"\n")
}
