package server_test

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/coord/replica"
	"frostlink/internal/coord/server/servertest"
	"frostlink/internal/lease"
)

func TestServer_LeasePassesBetweenClients(t *testing.T) {
	c := servertest.New(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	clients := map[string]*lease.Client{}
	for _, name := range []string{"a", "b"} {
		client := lease.NewClient(name, "c", c.Members, 2*time.Second, 50*time.Millisecond, slog.New(slog.DiscardHandler))
		clients[name] = client
		work.Go(func() { client.Run(ctx) })
	}
	holds := func(name string) func() bool {
		return func() bool { _, ok := clients[name].Holds("x"); return ok }
	}
	clients["a"].Request("x", "test")
	servertest.Eventually(t, "a holds", holds("a"))
	clients["b"].Request("x", "test")
	act, err := clients["a"].Act(ctx, "x", 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	first := act.Token
	clients["a"].Release("x", "")
	if _, err := clients["a"].Act(ctx, "x", time.Millisecond); err == nil {
		t.Error("a is allowed another act although it has released the lease")
	}
	if holds("b")() {
		t.Error("b holds the lease before a's act has ended")
	}
	act.End()
	servertest.Eventually(t, "b holds", holds("b"))
	if token, _ := clients["b"].Holds("x"); token <= first {
		t.Errorf("b's token %d is not above a's %d", token, first)
	}
	// The leader stops: another member becomes the leader, and b keeps the lease.
	before, _ := clients["b"].Holds("x")
	oldLeader := c.Leader()
	c.Stop(oldLeader)
	servertest.Eventually(t, "another member leads", func() bool { now := c.Leader(); return now != 0 && now != oldLeader })
	servertest.Eventually(t, "b holds", holds("b"))
	if now, _ := clients["b"].Holds("x"); now != before {
		t.Errorf("the lease was lost when the leader changed: token %d, then %d", before, now)
	}
	c.Start(oldLeader, nil)
	clients["b"].Release("x", "")
	clients["a"].Request("x", "test")
	servertest.Eventually(t, "a holds again", holds("a"))
	list, err := c.CallLeader(api.PathRead, api.Request{Query: &api.Query{Leases: "*", History: "x"}})
	if err != nil || len(list.Leases) != 1 || list.Leases[0].Holder != "a" || len(list.History) < 5 {
		t.Errorf("unexpected leases or history: %+v, %v", list, err)
	}
}

func TestClient_RejectsTaskWithoutGuard(t *testing.T) {
	c := lease.NewClient("a", "c", nil, time.Second, 0, slog.Default())
	if err := c.RunTask(t.Context(), lease.Task{Lease: "x"}); err == nil {
		t.Error("a task that is neither Fenced nor Idempotent was run")
	}
}

func TestServer_WritesAndWatchesValues(t *testing.T) {
	c := servertest.New(t)
	open, err := c.CallLeader(api.PathCommand, api.Request{Command: &coord.Command{Op: coord.OpOpen, Nonce: "n", Name: "t", TTL: time.Minute}})
	if err != nil {
		t.Fatal(err)
	}
	put := api.Request{Command: &coord.Command{Op: coord.OpPut, Session: open.Result.Session, Seq: 1, Key: "k", Value: []byte("v")}}
	for range 2 { // the second time is a retry
		if a, err := c.CallLeader(api.PathCommand, put); err != nil || a.Result.Code != coord.CodeOK || a.Result.ModRevision != 1 {
			t.Fatalf("put failed: %+v, %v", a, err)
		}
	}
	a, err := c.CallLeader(api.PathRead, api.Request{Query: &api.Query{Values: "*", Changes: "*"}})
	if err != nil || len(a.Values) != 1 || string(a.Values[0].Value) != "v" || len(a.Changes) != 1 || a.Compacted || a.Revision != 1 {
		t.Errorf("unexpected values or changes: %+v, %v", a, err)
	}
	if a, err = c.CallLeader(api.PathRead, api.Request{Query: &api.Query{Changes: "*", After: 99}}); err != nil || !a.Compacted {
		t.Errorf("changes after a revision that does not exist: %+v, %v", a, err)
	}
	var raw []byte
	servertest.Eventually(t, "a snapshot is read", func() bool {
		raw, err = c.Caller.Snapshot(t.Context(), c.Members[0].Address)
		if err != nil {
			c.Members = append(c.Members[1:], c.Members[0])
		}
		return err == nil
	})
	if m, err := coord.Restore(raw); err != nil || len(m.Values("k")) != 1 {
		t.Errorf("snapshot not restored: %v: %s", err, raw)
	}
}

func TestServer_RejectsInvalidRequests(t *testing.T) {
	c := servertest.New(t)
	servertest.Eventually(t, "a member leads", func() bool { return c.Leader() != 0 })
	address := c.Members[c.Leader()-1].Address
	post := func(t *testing.T, path, body string) (int, string) {
		t.Helper()
		resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(raw)
	}
	for name, tt := range map[string]struct {
		path, body string
		status     int
		message    string
	}{
		"another cluster":             {api.PathCommand, `{"cluster":"d","command":{"op":"renew"}}`, http.StatusConflict, "of cluster"},
		"an unknown field":            {api.PathCommand, `{"cluster":"c","comand":{}}`, http.StatusBadRequest, "comand"},
		"no command":                  {api.PathCommand, `{"cluster":"c"}`, http.StatusBadRequest, "command"},
		"no query":                    {api.PathRead, `{"cluster":"c"}`, http.StatusBadRequest, "query"},
		"two changes":                 {api.PathMembers, `{"cluster":"c","leave":1,"join":{"id":4,"address":"a:1"}}`, http.StatusBadRequest, "one of them"},
		"a new member as a voter":     {api.PathMembers, `{"cluster":"c","join":{"id":4,"address":"a:1"}}`, http.StatusConflict, "learner"},
		"not a member":                {api.PathMembers, `{"cluster":"c","leave":9}`, http.StatusConflict, "no member"},
		"a truncated message":         {api.PathRaft, "\x00\x00\x00\x09\x01", http.StatusBadRequest, "cut off"},
		"a newer message":             {api.PathRaft, "\x00\x00\x00\x01\x09", http.StatusBadRequest, "version 9"},
		"a member of another cluster": {api.PathRaft, frame(replica.Envelope{Cluster: "d", From: 1, To: 2, Kind: replica.KindAnnounce}), http.StatusBadRequest, "of cluster"},
	} {
		t.Run(name, func(t *testing.T) {
			if status, body := post(t, tt.path, tt.body); status != tt.status || !strings.Contains(body, tt.message) {
				t.Errorf("unexpected answer: status %d, body %s", status, body)
			}
		})
	}
}

// frame returns the body of a request between members that contains one envelope.
func frame(e replica.Envelope) string {
	raw := e.Encode()
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(raw)))) + string(raw)
}
