package deadletter

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The tool sees the same through the socket of a running relay and in the folder of a stopped one.
func TestAccessBySocketAndByFolder(t *testing.T) {
	dir := t.TempDir()
	folder, socket := filepath.Join(dir, "store"), filepath.Join(dir, "s")
	s := openStore(t, folder)
	put(t, s, "a", "b", "c")
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, socket, &Admin{Store: s, Now: time.Now}) }()
	var a *Client
	var err error
	for end := time.Now().Add(10 * time.Second); a == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		a, err = Connect(socket)
	}
	if a == nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket's mode: %v, %v", info.Mode(), err)
	}
	if err := Serve(t.Context(), socket, &Admin{Store: s}); !errors.Is(err, ErrInUse) {
		t.Errorf("a second relay on the socket: %v", err)
	}
	if _, err := OpenFolder(folder, false); !errors.Is(err, ErrInUse) {
		t.Errorf("the folder of a running relay: %v", err)
	}
	look := func(a *Client) {
		t.Helper()
		l, err := a.List(t.Context(), &Filter{Class: "fee-payment"}, 0, 2)
		if err != nil || len(l.Messages) != 2 || l.Next != 3 {
			t.Errorf("list: %+v, %v", l, err)
		}
		if body, err := a.Body(t.Context(), "b"); err != nil || string(body) != "body of b" {
			t.Errorf("body: %q, %v", body, err)
		}
		if _, err := a.Get(t.Context(), "z"); !errors.Is(err, ErrUnknown) {
			t.Errorf("an unknown one: %v", err)
		}
		if st, err := a.Stats(t.Context()); err != nil || st.Messages != 3 {
			t.Errorf("stats: %+v, %v", st, err)
		}
		if v, err := a.Verify(t.Context()); err != nil || v.Good != 3 {
			t.Errorf("verify: %+v, %v", v, err)
		}
	}
	look(a)
	if r, err := a.Command(t.Context(), "hold", "a", Command{By: "Amina"}); err != nil || !r.HeldByOperator {
		t.Errorf("hold: %+v, %v", r, err)
	}
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	_ = s.Close()
	read, err := OpenFolder(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	look(read)
	if _, err := read.Command(t.Context(), "hold", "b", Command{By: "Amina"}); err == nil {
		t.Error("a reader may change")
	}
	_ = read.Close()
	write, err := OpenFolder(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	defer write.Close()
	if r, err := write.Command(t.Context(), "hold", "b", Command{By: "Amina"}); err != nil || !r.HeldByOperator {
		t.Errorf("hold in the folder: %+v, %v", r, err)
	}
	if _, err := OpenFolder(filepath.Join(dir, "elsewhere"), true); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a folder without a store: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Serve(t.Context(), filepath.Join(dir, "file"), &Admin{Store: s}); err == nil {
		t.Error("a file was taken for a socket")
	}
}
