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

func TestLeaseGoesOnBetweenClients(t *testing.T) {
	c := servertest.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	clients := map[string]*lease.Client{}
	for _, name := range []string{"a", "b"} {
		client := lease.NewClient(name, "c", c.Members, 2*time.Second, 50*time.Millisecond, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
		t.Error("a may act on although it gives the lease back")
	}
	if holds("b")() {
		t.Error("b holds before a's act has ended")
	}
	act.End()
	servertest.Eventually(t, "b holds", holds("b"))
	if token, _ := clients["b"].Holds("x"); token <= first {
		t.Errorf("b's token %d is not above a's %d", token, first)
	}
	// The member that leads ends: another leads, and the lease is not lost by it.
	was, _ := clients["b"].Holds("x")
	old := c.Leader()
	c.Stop(old)
	servertest.Eventually(t, "another leads", func() bool { now := c.Leader(); return now != 0 && now != old })
	servertest.Eventually(t, "b holds", holds("b"))
	if now, _ := clients["b"].Holds("x"); now != was {
		t.Errorf("the lease was lost by a change of leader: token %d, then %d", was, now)
	}
	c.Start(old, nil)
	clients["b"].Release("x", "")
	clients["a"].Request("x", "test")
	servertest.Eventually(t, "a holds again", holds("a"))
	list, err := c.Lead(api.PathRead, api.Request{Query: &api.Query{Leases: "*", History: "x"}})
	if err != nil || len(list.Leases) != 1 || list.Leases[0].Holder != "a" || len(list.History) < 5 {
		t.Errorf("%+v, %v", list, err)
	}
}

func TestTaskWithoutGuard(t *testing.T) {
	c := lease.NewClient("a", "c", nil, time.Second, 0, slog.Default())
	if err := c.RunTask(context.Background(), lease.Task{Lease: "x"}); err == nil {
		t.Error("a task that says neither Fenced nor Idempotent is run")
	}
}

func TestValuesAndWatch(t *testing.T) {
	c := servertest.New(t)
	open, err := c.Lead(api.PathCommand, api.Request{Command: &coord.Command{Op: coord.OpOpen, Nonce: "n", Name: "t", TTL: time.Minute}})
	if err != nil {
		t.Fatal(err)
	}
	put := api.Request{Command: &coord.Command{Op: coord.OpPut, Session: open.Result.Session, Seq: 1, Key: "k", Value: []byte("v")}}
	for range 2 { // the second time its answer counts as lost
		if a, err := c.Lead(api.PathCommand, put); err != nil || a.Result.Code != coord.CodeOK || a.Result.ModRevision != 1 {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	a, err := c.Lead(api.PathRead, api.Request{Query: &api.Query{Values: "*", Changes: "*"}})
	if err != nil || len(a.Values) != 1 || string(a.Values[0].Value) != "v" || len(a.Changes) != 1 || a.Compacted || a.Revision != 1 {
		t.Errorf("%+v, %v", a, err)
	}
	if a, err = c.Lead(api.PathRead, api.Request{Query: &api.Query{Changes: "*", After: 99}}); err != nil || !a.Compacted {
		t.Errorf("changes after a revision that never was: %+v, %v", a, err)
	}
	var raw []byte
	servertest.Eventually(t, "a snapshot", func() bool {
		raw, err = c.Caller.Snapshot(context.Background(), c.Members[0].Address)
		if err != nil {
			c.Members = append(c.Members[1:], c.Members[0])
		}
		return err == nil
	})
	if m, err := coord.Restore(raw); err != nil || len(m.Values("k")) != 1 {
		t.Errorf("%v: %s", err, raw)
	}
}

func TestRefusals(t *testing.T) {
	c := servertest.New(t)
	servertest.Eventually(t, "a member leads", func() bool { return c.Leader() != 0 })
	at := c.Members[c.Leader()-1].Address
	post := func(path, body string) (int, string) {
		resp, err := http.Post("http://"+at+path, "application/json", strings.NewReader(body))
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
		says       string
	}{
		"another cluster":  {api.PathCommand, `{"cluster":"d","command":{"op":"renew"}}`, http.StatusConflict, "of cluster"},
		"an unknown key":   {api.PathCommand, `{"cluster":"c","comand":{}}`, http.StatusBadRequest, "comand"},
		"no command":       {api.PathCommand, `{"cluster":"c"}`, http.StatusBadRequest, "command"},
		"no query":         {api.PathRead, `{"cluster":"c"}`, http.StatusBadRequest, "query"},
		"two changes":      {api.PathMembers, `{"cluster":"c","leave":1,"join":{"id":4,"address":"a:1"}}`, http.StatusBadRequest, "one of them"},
		"a vote at once":   {api.PathMembers, `{"cluster":"c","join":{"id":4,"address":"a:1"}}`, http.StatusConflict, "learner"},
		"not a member":     {api.PathMembers, `{"cluster":"c","leave":9}`, http.StatusConflict, "no member"},
		"a cut message":    {api.PathRaft, "\x00\x00\x00\x09\x01", http.StatusBadRequest, "cut off"},
		"a newer message":  {api.PathRaft, "\x00\x00\x00\x01\x09", http.StatusBadRequest, "version 9"},
		"another's member": {api.PathRaft, framed(replica.Envelope{Cluster: "d", From: 1, To: 2, Kind: replica.KindAnnounce}), http.StatusBadRequest, "of cluster"},
	} {
		if status, body := post(tt.path, tt.body); status != tt.status || !strings.Contains(body, tt.says) {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
}

// framed is an envelope as members send it.
func framed(e replica.Envelope) string {
	raw := e.Encode()
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(raw)))) + string(raw)
}
