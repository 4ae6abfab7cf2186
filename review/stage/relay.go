package stage

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Relay is a relay with its folder; its processes come and go.
type Relay struct {
	*Process
	Addr  string // for clients
	Admin string // for operators; of the latest process

	stage    *Stage
	folder   string
	config   string
	operator string // path of the operator's file; empty: none
	starts   int
}

// NewRelay prepares a relay. operator is the text of the operator's file; empty: none.
func (s *Stage) NewRelay(p *Platform, settings map[string]any, operator string) *Relay {
	r := &Relay{stage: s, Addr: s.FreeAddress(), folder: filepath.Join(s.Dir, "relay"), config: filepath.Join(s.Dir, "config.json")}
	s.Check(os.MkdirAll(r.folder, 0o700), "folder of the relay")
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": r.Addr, "discovery": p.Addr, "seed": s.NewID(),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"peer_listen": s.FreeAddress(), "peers": []string{}, "known": p.whole(), "settings": settings,
	})
	s.Check(err, "configuration")
	s.Check(os.WriteFile(r.config, config, 0o600), "configuration")
	if operator != "" {
		r.SetOperator(operator)
	}
	return r
}

// SetOperator writes the operator's file, which the next process reads.
func (r *Relay) SetOperator(text string) {
	r.operator = filepath.Join(r.stage.Dir, "operator.toml")
	r.stage.Check(os.WriteFile(r.operator, []byte(text), 0o600), "operator's file")
}

// Start starts a process of the relay and waits until it is ready.
func (r *Relay) Start() {
	r.begin()
	r.stage.WaitFor("the relay is ready", 10*time.Second, r.Ready)
	r.stage.Record("%s is ready", r.name)
}

// begin starts a process of the relay with the command of the deploy file.
func (r *Relay) begin() {
	r.starts++
	r.Admin = r.stage.FreeAddress()
	env := []string{
		"NODE_NAME=n1", "NODE_LISTEN=" + r.Addr, "NODE_STATE=" + r.folder, "NODE_CONFIG=" + r.config, "NODE_MANAGEMENT=" + r.Admin,
	}
	command := r.stage.runCommand()
	if r.operator != "" {
		command += " -operator " + r.operator
	}
	r.Process = r.stage.startShell("relay-"+string(rune('0'+r.starts)), command, env)
}

// Ready reports whether the latest process says at its operators' address that it serves.
func (r *Relay) Ready() bool { return get("http://"+r.Admin+"/status") == http.StatusOK }
