package deadletter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"frostlink/internal/socket/sockettest"
)

// serveOnSocket serves a store on a socket. It returns a client, and a function that stops serving and returns its error.
func serveOnSocket(t *testing.T, s *Store, socket string) (client *Client, stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, socket, &Admin{Store: s, Now: time.Now}) }()
	var err error
	for end := time.Now().Add(10 * time.Second); client == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		client, err = Connect(socket)
	}
	if client == nil {
		t.Fatal(err)
	}
	return client, func() error {
		cancel()
		return <-served
	}
}

// checkReads checks what a client reads from a store with the messages a, b and c.
func checkReads(t *testing.T, client *Client) {
	t.Helper()
	listing, err := client.List(t.Context(), &Filter{Class: "fee-payment"}, 0, 2)
	if err != nil || len(listing.Messages) != 2 || listing.Next != 3 {
		t.Errorf("list: %+v, %v", listing, err)
	}
	if body, err := client.Body(t.Context(), "b"); err != nil || string(body) != "body of b" {
		t.Errorf("body: %q, %v", body, err)
	}
	if _, err := client.Get(t.Context(), "z"); !errors.Is(err, ErrUnknown) {
		t.Errorf("get of an unknown message: %v", err)
	}
	if stats, err := client.Stats(t.Context()); err != nil || stats.Messages != 3 {
		t.Errorf("stats: %+v, %v", stats, err)
	}
	if verified, err := client.Verify(t.Context()); err != nil || verified.Good != 3 {
		t.Errorf("verify: %+v, %v", verified, err)
	}
}

// A client reads the same messages over the socket of a running relay and from the folder of a stopped one.
func TestClient_ReachesStoreBySocketAndByFolder(t *testing.T) {
	dir := t.TempDir()
	folder, socket := filepath.Join(dir, "store"), filepath.Join(dir, "s")
	s := openStore(t, folder)
	storeMessages(t, s, "a", "b", "c")
	running, stop := serveOnSocket(t, s, socket)
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket has mode %v, want 0600; %v", info.Mode(), err)
	}
	if err := Serve(t.Context(), socket, &Admin{Store: s}); !errors.Is(err, ErrInUse) {
		t.Errorf("a second relay on the socket: %v", err)
	}
	if _, err := OpenFolder(folder, false); !errors.Is(err, ErrInUse) {
		t.Errorf("the folder of a running relay: %v", err)
	}
	checkReads(t, running)
	if r, err := running.Command(t.Context(), "hold", "a", Command{By: "Amina"}); err != nil || !r.HeldByOperator {
		t.Errorf("hold: %+v, %v", r, err)
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
	_ = s.Close()

	reader, err := OpenFolder(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	checkReads(t, reader)
	if _, err := reader.Command(t.Context(), "hold", "b", Command{By: "Amina"}); err == nil {
		t.Error("a client without write access can change a message")
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
}

func TestOpenFolder_FailsWithoutStore(t *testing.T) {
	if _, err := OpenFolder(filepath.Join(t.TempDir(), "elsewhere"), true); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a folder without a store: %v", err)
	}
}

func TestServe_DoesNotReplaceFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Serve(t.Context(), path, &Admin{Store: openStore(t, t.TempDir())}); err == nil {
		t.Error("a file was replaced by a socket")
	}
}

// A copy of an earlier response does not answer a later request: each request has a connection of its own. A server that gets a second
// request on a connection writes the first response once more before it responds.
func TestClient_CopiedResponseDoesNotAnswerTheNextRequest(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	sockettest.Serve(t, "unix", socket, echoPathsWithCopies)
	c, err := Connect(socket)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/first", "/second"} {
		resp, err := c.client.Get("http://store" + path)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != path {
			t.Errorf("%s got the response to %s", path, body)
		}
	}
}

// echoPathsWithCopies responds to each request on a connection with its path, and before that repeats the last response.
func echoPathsWithCopies(conn net.Conn) {
	last := ""
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, last)
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		_, _ = io.WriteString(conn, last)
	}
}
