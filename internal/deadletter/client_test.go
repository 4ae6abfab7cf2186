package deadletter

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A client gets the same over the socket of a running relay and from the folder of a stopped one.
func TestClient_ReachesStoreBySocketAndByFolder(t *testing.T) {
	dir := t.TempDir()
	folder, socket := filepath.Join(dir, "store"), filepath.Join(dir, "s")
	s := openStore(t, folder)
	storeMessages(t, s, "a", "b", "c")
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, socket, &Admin{Store: s, Now: time.Now}) }()
	var running *Client
	var err error
	for end := time.Now().Add(10 * time.Second); running == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		running, err = Connect(socket)
	}
	if running == nil {
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
	checkReads := func(client *Client) {
		t.Helper()
		listing, err := client.List(t.Context(), &Filter{Class: "fee-payment"}, 0, 2)
		if err != nil || len(listing.Messages) != 2 || listing.Next != 3 {
			t.Errorf("list: %+v, %v", listing, err)
		}
		if body, err := client.Body(t.Context(), "b"); err != nil || string(body) != "body of b" {
			t.Errorf("body: %q, %v", body, err)
		}
		if _, err := client.Get(t.Context(), "z"); !errors.Is(err, ErrUnknown) {
			t.Errorf("an unknown one: %v", err)
		}
		if stats, err := client.Stats(t.Context()); err != nil || stats.Messages != 3 {
			t.Errorf("stats: %+v, %v", stats, err)
		}
		if verified, err := client.Verify(t.Context()); err != nil || verified.Good != 3 {
			t.Errorf("verify: %+v, %v", verified, err)
		}
	}
	checkReads(running)
	if r, err := running.Command(t.Context(), "hold", "a", Command{By: "Amina"}); err != nil || !r.HeldByOperator {
		t.Errorf("hold: %+v, %v", r, err)
	}
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	_ = s.Close()
	reader, err := OpenFolder(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	checkReads(reader)
	if _, err := reader.Command(t.Context(), "hold", "b", Command{By: "Amina"}); err == nil {
		t.Error("a reader may change")
	}
	_ = reader.Close()
	writer, err := OpenFolder(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	if r, err := writer.Command(t.Context(), "hold", "b", Command{By: "Amina"}); err != nil || !r.HeldByOperator {
		t.Errorf("hold in the folder: %+v, %v", r, err)
	}
	if _, err := OpenFolder(filepath.Join(dir, "elsewhere"), true); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a folder without a store: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Serve(t.Context(), filepath.Join(dir, "file"), &Admin{Store: s}); err == nil {
		t.Error("a file was replaced by a socket")
	}
}
