package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

var errNotReady = errors.New("not ready")

// fakeSource is the relay of a predecessor. It sends the name of each method call to calls.
type fakeSource struct {
	calls      chan string
	conns      []Conn
	quiesceErr error // returned by the first call of Quiesce
}

func (s *fakeSource) Quiesce(context.Context) (state any, conns []Conn, err error) {
	err, s.quiesceErr = s.quiesceErr, nil
	s.calls <- "quiesce"
	return map[string]string{"body": strings.Repeat("x", 2*maxFrameBody)}, s.conns, err
}

func (s *fakeSource) Resume() { s.calls <- "resume" }

func (s *fakeSource) Released() { s.calls <- "released" }

// fakeRecipient is the relay of a successor. It records the names of its method calls.
type fakeRecipient struct {
	calls      []string
	state      json.RawMessage
	conns      []Conn
	prepareErr error
}

func (r *fakeRecipient) Start() error {
	r.calls = append(r.calls, "start")
	return nil
}

func (r *fakeRecipient) Prepare(state json.RawMessage) error {
	r.calls, r.state = append(r.calls, "prepare"), state
	return r.prepareErr
}

func (r *fakeRecipient) Discard() { r.calls = append(r.calls, "discard") }

func (r *fakeRecipient) Acquire() error {
	r.calls = append(r.calls, "acquire")
	return nil
}

func (r *fakeRecipient) Serve(conns []Conn) error {
	r.calls, r.conns = append(r.calls, "serve"), conns
	return nil
}

// startOwner acquires a free folder, and serves successors from source until stop is called or the test ends.
func startOwner(t *testing.T, dir string, source *fakeSource) (outcomes <-chan Outcome, stop func()) {
	t.Helper()
	r := &fakeRecipient{}
	owner, err := Acquire(t.Context(), dir, r)
	if err != nil || fmt.Sprint(r.calls) != "[start]" {
		t.Fatalf("calls at the acquisition of a free folder: %v, err %v", r.calls, err)
	}
	source.calls = make(chan string, 100)
	stopped, done, served := make(chan struct{}), make(chan struct{}), make(chan Outcome, 1)
	stop = sync.OnceFunc(func() { close(stopped) })
	go func() {
		defer close(done)
		served <- owner.Serve(stopped, source)
	}()
	t.Cleanup(func() {
		stop()
		waittest.Receive(t, done)
		owner.Release()
	})
	return served, stop
}

func acquire(t *testing.T, dir string, r *fakeRecipient) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waittest.Long)
	defer cancel()
	owner, err := Acquire(ctx, dir, r)
	if err == nil {
		t.Cleanup(owner.Release)
	}
	return err
}

// connect returns n connections and their peers.
func connect(t *testing.T, n int) (conns []Conn, peers []net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for i := range n {
		peer, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = peer.Close() })
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, Conn{Kind: ClientConn, ID: fmt.Sprint(i), Conn: accepted.(*net.TCPConn)})
		peers = append(peers, peer)
	}
	return conns, peers
}

// The state and the connections of several batches reach the successor, and the predecessor ends when it is
// asked to stop. This also works in a folder whose path is too long for a socket's address.
func TestHandover_PassesStateAndConnections(t *testing.T) {
	for _, test := range []struct{ name, folder string }{
		{"short path", "."},
		{"path too long for an address", strings.Repeat("d", maxSocketPath)},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), test.folder)
			if err := os.MkdirAll(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			conns, peers := connect(t, 2*maxFrameFiles+1)
			source := &fakeSource{conns: conns}
			outcomes, stop := startOwner(t, dir, source)
			r := &fakeRecipient{}
			if err := acquire(t, dir, r); err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(r.calls); got != "[prepare acquire serve]" {
				t.Errorf("calls of the recipient: %s", got)
			}
			if len(r.state) < 2*maxFrameBody || len(r.conns) != len(conns) {
				t.Fatalf("%d bytes of state, %d connections of %d", len(r.state), len(r.conns), len(conns))
			}
			for i, c := range r.conns {
				if c.ID != conns[i].ID || c.Conn.RemoteAddr().String() != peers[i].LocalAddr().String() {
					t.Errorf("connection %s of %v, want %s of %v", c.ID, c.Conn.RemoteAddr(), conns[i].ID, peers[i].LocalAddr())
				}
				_ = c.Conn.Close()
			}
			for _, want := range []string{"quiesce", "released"} {
				if got := waittest.Receive(t, source.calls); got != want {
					t.Errorf("call of the source: %s, want %s", got, want)
				}
			}
			stop()
			if got := waittest.Receive(t, outcomes); got != HandedOver {
				t.Errorf("outcome %d", got)
			}
		})
	}
}

// After a failed Quiesce the relay resumes, and it is handed over when the successor asks again.
func TestHandover_RetriesAfterFailedQuiesce(t *testing.T) {
	dir := t.TempDir()
	source := &fakeSource{quiesceErr: errNotReady}
	startOwner(t, dir, source)
	if err := acquire(t, dir, &fakeRecipient{}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"quiesce", "resume", "quiesce", "released"} {
		if got := waittest.Receive(t, source.calls); got != want {
			t.Errorf("call of the source: %s, want %s", got, want)
		}
	}
}

// A successor whose Prepare fails returns the error, and the predecessor resumes.
func TestHandover_ResumesAfterFailedPrepare(t *testing.T) {
	dir := t.TempDir()
	source := &fakeSource{}
	outcomes, stop := startOwner(t, dir, source)
	if err := acquire(t, dir, &fakeRecipient{prepareErr: errNotReady}); !errors.Is(err, errNotReady) {
		t.Errorf("err %v, want %v", err, errNotReady)
	}
	for _, want := range []string{"quiesce", "resume"} {
		if got := waittest.Receive(t, source.calls); got != want {
			t.Errorf("call of the source: %s, want %s", got, want)
		}
	}
	stop()
	if got := waittest.Receive(t, outcomes); got != StopRequested {
		t.Errorf("outcome %d", got)
	}
}

// If the successor dies after it has received the lock, the predecessor's outcome is SuccessorDied.
func TestHandover_ReportsDeathOfSuccessor(t *testing.T) {
	dir := t.TempDir()
	outcomes, _ := startOwner(t, dir, &fakeSource{})
	a := &acquisition{dir: dir, relay: &fakeRecipient{}, owner: &Owner{dir: dir}}
	for _, step := range []struct {
		action action
		want   event
	}{
		{actionAsk, eventStateOffered},
		{actionPrepare, eventPrepared},
		{actionReportReady, eventLockTransferred},
	} {
		if got := a.step(t.Context(), step.action); got != step.want {
			t.Fatalf("action %d leads to event %d, want %d", step.action, got, step.want)
		}
	}
	a.closeLink()
	a.owner.lock.close()
	if got := waittest.Receive(t, outcomes); got != SuccessorDied {
		t.Errorf("outcome %d", got)
	}
}

// A hello of another version, a malformed hello and any other first frame are rejected before the source is
// called.
func TestOwner_RejectsInvalidHello(t *testing.T) {
	for _, test := range []struct {
		name string
		kind frameKind
		body []byte
	}{
		{"another version", frameHello, encode(hello{Version + 1})},
		{"malformed JSON", frameHello, []byte("hello")},
		{"another kind of frame", frameReady, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			source := &fakeSource{}
			startOwner(t, dir, source)
			l, err := dial(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer l.close()
			if err := l.send(test.kind, test.body); err != nil {
				t.Fatal(err)
			}
			if f, err := l.receive(time.Now().Add(waittest.Long)); !errors.Is(err, io.EOF) {
				t.Errorf("frame %v, err %v; want a closed link", f.kind, err)
			}
			if len(source.calls) > 0 {
				t.Errorf("unexpected call of the source: %s", <-source.calls)
			}
		})
	}
}

// Acquire of a locked folder returns when its context ends.
func TestAcquire_EndsWithContext(t *testing.T) {
	dir := t.TempDir()
	lock, err := lockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer lock.close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*askInterval)
	defer cancel()
	if _, err := Acquire(ctx, dir, &fakeRecipient{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("err %v", err)
	}
}
