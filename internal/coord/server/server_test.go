package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"mallowlead/internal/coord"
	"mallowlead/internal/coord/api"
	"mallowlead/internal/coord/disk"
	"mallowlead/internal/coord/replica"
	"mallowlead/internal/lease"
)

// within is how long anything may take here that takes a second at most on a machine with nothing else to do.
const within = 30 * time.Second

// cluster is three nodes in this process, on real sockets and disks.
type cluster struct {
	t       *testing.T
	dir     string
	members []coord.Member
	caller  *api.Caller
	stops   map[uint64]func()
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), caller: api.NewCaller("c"), stops: map[uint64]func(){}}
	listeners := map[uint64]net.Listener{}
	for id := uint64(1); id <= 3; id++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[id] = ln
		c.members = append(c.members, coord.Member{ID: id, Address: ln.Addr().String()})
	}
	for _, m := range c.members {
		if err := disk.Create(c.folder(m.ID), disk.Identity{Cluster: "c", ID: m.ID, Address: m.Address}, replica.First("c", c.members)); err != nil {
			t.Fatal(err)
		}
		c.start(m.ID, listeners[m.ID])
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
	})
	return c
}

func (c *cluster) folder(id uint64) string { return filepath.Join(c.dir, fmt.Sprint(id)) }

// start runs a node. Its listener is bound already, or is bound anew at its old address.
func (c *cluster) start(id uint64, ln net.Listener) {
	c.t.Helper()
	var err error
	if ln == nil {
		if ln, err = net.Listen("tcp", c.members[id-1].Address); err != nil {
			c.t.Fatal(err)
		}
	}
	node, err := New(c.folder(id), nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		c.t.Fatal(err)
	}
	srv := &http.Server{Handler: node.Handler()}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { _ = srv.Serve(ln) })
	work.Go(func() {
		if err := node.Run(ctx); err != nil {
			c.t.Errorf("member %d: %v", id, err)
		}
		_ = srv.Close()
	})
	c.stops[id] = sync.OnceFunc(func() { stop(); work.Wait() })
}

func (c *cluster) lead(path string, r api.Request) (api.Answer, error) {
	ctx, stop := context.WithTimeout(context.Background(), within)
	defer stop()
	return c.caller.Lead(ctx, c.members, path, r)
}

// eventually waits for what has to come.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

func (c *cluster) leader() uint64 {
	for _, m := range c.members {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		s, err := c.caller.Status(ctx, m.Address)
		stop()
		if err == nil && s.Member.Role == "leader" {
			return m.ID
		}
	}
	return 0
}

func TestLeaseGoesOnBetweenClients(t *testing.T) {
	c := newCluster(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	clients := map[string]*lease.Client{}
	for _, name := range []string{"a", "b"} {
		client := lease.NewClient(name, "c", c.members, 2*time.Second, 50*time.Millisecond, slog.New(slog.NewTextHandler(io.Discard, nil)))
		clients[name] = client
		work.Go(func() { client.Run(ctx) })
	}
	holds := func(name string) func() bool {
		return func() bool { _, ok := clients[name].Holds("x"); return ok }
	}
	clients["a"].Want("x", "test")
	eventually(t, "a holds", holds("a"))
	clients["b"].Want("x", "test")
	act, err := clients["a"].Act(ctx, "x", 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	first := act.Token
	clients["a"].Drop("x", "")
	if _, err := clients["a"].Act(ctx, "x", time.Millisecond); err == nil {
		t.Error("a may act on although it gives the lease back")
	}
	if holds("b")() {
		t.Error("b holds before a's act has ended")
	}
	act.End()
	eventually(t, "b holds", holds("b"))
	if token, _ := clients["b"].Holds("x"); token <= first {
		t.Errorf("b's token %d is not above a's %d", token, first)
	}
	// The member that leads ends: another leads, and the lease is not lost by it.
	was, _ := clients["b"].Holds("x")
	old := c.leader()
	c.stops[old]()
	eventually(t, "another leads", func() bool { now := c.leader(); return now != 0 && now != old })
	eventually(t, "b holds", holds("b"))
	if now, _ := clients["b"].Holds("x"); now != was {
		t.Errorf("the lease was lost by a change of leader: token %d, then %d", was, now)
	}
	c.start(old, nil)
	clients["b"].Drop("x", "")
	clients["a"].Want("x", "test")
	eventually(t, "a holds again", holds("a"))
	list, err := c.lead(api.PathRead, api.Request{Query: &api.Query{Leases: "*", History: "x"}})
	if err != nil || len(list.Leases) != 1 || list.Leases[0].Holder != "a" || len(list.History) < 5 {
		t.Errorf("%+v, %v", list, err)
	}
}

func TestTaskWithoutGuard(t *testing.T) {
	c := lease.NewClient("a", "c", nil, time.Second, 0, slog.Default())
	if err := c.Keep(context.Background(), lease.Task{Lease: "x"}); err == nil {
		t.Error("a task that says neither Fenced nor Harmless is kept")
	}
}

func TestValuesAndWatch(t *testing.T) {
	c := newCluster(t)
	open, err := c.lead(api.PathCommand, api.Request{Command: &coord.Command{Op: coord.Open, Nonce: "n", Name: "t", TTL: time.Minute}})
	if err != nil {
		t.Fatal(err)
	}
	put := api.Request{Command: &coord.Command{Op: coord.Put, Session: open.Result.Session, Seq: 1, Key: "k", Value: []byte("v")}}
	for range 2 { // the second time its answer counts as lost
		if a, err := c.lead(api.PathCommand, put); err != nil || a.Result.Code != coord.Done || a.Result.Version != 1 {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	a, err := c.lead(api.PathRead, api.Request{Query: &api.Query{Values: "*", Changes: "*"}})
	if err != nil || len(a.Values) != 1 || string(a.Values[0].Value) != "v" || len(a.Changes) != 1 || a.Gone || a.At != 1 {
		t.Errorf("%+v, %v", a, err)
	}
	if a, err = c.lead(api.PathRead, api.Request{Query: &api.Query{Changes: "*", After: 99}}); err != nil || !a.Gone {
		t.Errorf("changes after a revision that never was: %+v, %v", a, err)
	}
	var raw []byte
	eventually(t, "a snapshot", func() bool {
		raw, err = c.caller.Snapshot(context.Background(), c.members[0].Address)
		if err != nil {
			c.members = append(c.members[1:], c.members[0])
		}
		return err == nil
	})
	if m, err := coord.Restore(raw); err != nil || len(m.Values("k")) != 1 {
		t.Errorf("%v: %s", err, raw)
	}
}

func TestRefusals(t *testing.T) {
	c := newCluster(t)
	eventually(t, "a member leads", func() bool { return c.leader() != 0 })
	at := c.members[c.leader()-1].Address
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
		"another's member": {api.PathRaft, string(frame(nil, replica.Envelope{Cluster: "d", From: 1, To: 2, Kind: replica.Hello}.Encode())), http.StatusBadRequest, "of cluster"},
	} {
		if status, body := post(tt.path, tt.body); status != tt.status || !strings.Contains(body, tt.says) {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
}

func FuzzUnframe(f *testing.F) {
	f.Add(frame(frame(nil, replica.Envelope{Cluster: "c", From: 1, To: 2, Kind: replica.Hello}.Encode()), replica.Envelope{Kind: replica.Raft}.Encode()))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := unframe(raw)
		if err != nil {
			return
		}
		var again []byte
		for _, e := range list {
			again = frame(again, e.Encode())
		}
		if !bytes.Equal(raw, again) {
			t.Errorf("%x became %x", raw, again)
		}
	})
}
