package deadletter

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// pageSize is the page size of the test's files. bbolt uses the page size of the system.
var pageSize = os.Getpagesize()

// Verify finds a flipped bit and a page of zeros, and the other messages stay readable.
func TestStore_VerifyFindsDamage(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	s := openStore(t, dir)
	const n = 400
	for i := range n {
		storeMessages(t, s, fmt.Sprintf("m%03d", i))
	}
	if good, faults := s.Verify(); good != n || len(faults) > 0 {
		t.Fatalf("before the damage: %d good, faults %v", good, faults)
	}
	_ = s.Close()
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	verifyDamaged := func(damage func(file []byte)) (good int, faults []Fault) {
		t.Helper()
		file := append([]byte{}, intact...)
		damage(file)
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, fileName), file, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := OpenToRead(folder)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		return s.Verify()
	}
	record := bytes.LastIndex(intact, []byte(`"id":"m200"`))
	if good, faults := verifyDamaged(func(file []byte) { file[record+6] ^= 1 }); good != n-1 || len(faults) != 1 || !strings.Contains(faults[0].What, "damaged") {
		t.Errorf("a flipped bit in a record: %d good, %v", good, faults)
	}
	body := bytes.LastIndex(intact, []byte("body of m100"))
	if good, faults := verifyDamaged(func(file []byte) { file[body] ^= 1 }); good != n-1 || len(faults) != 1 {
		t.Errorf("a flipped bit in a body: %d good, %v", good, faults)
	}
	if good, faults := verifyDamaged(func(file []byte) {
		page := record / pageSize * pageSize
		clear(file[page : page+pageSize])
	}); good < n-40 || good >= n || len(faults) == 0 {
		t.Errorf("a page of zeros: %d good, %v", good, faults)
	}
}

// Opening a store of which only the first two pages are readable returns an error and does not crash.
func TestOpen_FailsOnUnreadableStore(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	storeMessages(t, s, "a", "b", "c")
	_ = s.Close()
	path := filepath.Join(dir, fileName)
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 2 * pageSize; i < len(file); i++ {
		file[i] = 0xa5
	}
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the failed first attempt must leave no lock behind
		if s, err := Open(dir, 0, 0); err == nil || errors.Is(err, ErrInUse) {
			t.Errorf("open of a damaged store: %v, %v", s, err)
		}
	}
}
