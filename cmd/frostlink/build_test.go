package main

import (
	"debug/elf"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// deployKey returns the value of a key in deploy/balancer.toml.
func deployKey(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"$`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("deploy/balancer.toml has no line %s = \"...\"", key)
	}
	return string(m[1])
}

// The platform preloads a library into the relay and supervises a single process. Therefore the program that the deploy file's build
// command makes must be linked dynamically against the C library, and its run command must start the relay itself, as one process that
// starts no other.
func TestDeployFile_BuildAndRun(t *testing.T) {
	if _, err := exec.LookPath("gcc"); err != nil {
		t.Skip("external linking needs a C compiler: ", err)
	}
	dir := t.TempDir()
	buildRelay(t, dir)
	checkLinkedDynamically(t, filepath.Join(dir, "frostlink"))
	address, env := writeConfig(t, dir)
	relay := startRelay(t, dir, env)
	awaitHealthy(t, address)
	checkSingleProcess(t, relay.Pid)
}

// buildRelay builds the relay into dir with the deploy file's build command.
func buildRelay(t *testing.T, dir string) {
	t.Helper()
	build := strings.ReplaceAll(strings.ReplaceAll(deployKey(t, "build"), "-o bin/", "-o "+dir+"/"), "./cmd/...", "./cmd/frostlink")
	cmd := exec.Command("sh", "-c", strings.Replace(build, "mkdir -p bin", "true", 1))
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
}

func checkLinkedDynamically(t *testing.T, program string) {
	t.Helper()
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(lib string) bool { return strings.HasPrefix(lib, "libc.so") }) {
		t.Errorf("linked against %v (error %v), want the C library among them", libs, err)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program names no dynamic loader")
	}
}

// startRelay starts the relay with the deploy file's run command, and kills it when the test ends.
func startRelay(t *testing.T, dir string, env []string) *os.Process {
	t.Helper()
	run := deployKey(t, "run")
	if !strings.HasPrefix(run, "exec ") {
		t.Errorf("run = %q does not replace the shell by exec", run)
	}
	relay := exec.Command("sh", "-c", strings.Replace(run, "bin/", dir+"/", 1))
	relay.Dir, relay.Env = "../..", append(os.Environ(), env...)
	if err := relay.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = relay.Process.Kill()
		_ = relay.Wait()
	})
	return relay.Process
}

func awaitHealthy(t *testing.T, address string) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + address + "/_health"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(until) {
			t.Fatal("the relay is not healthy within 20 s")
		}
	}
}

// checkSingleProcess checks that a process runs the relay, and that none of its threads has started another process.
func checkSingleProcess(t *testing.T, pid int) {
	t.Helper()
	proc := fmt.Sprintf("/proc/%d", pid)
	if exe, err := os.Readlink(proc + "/exe"); err != nil || filepath.Base(exe) != "frostlink" {
		t.Errorf("the process runs %s (error %v), want frostlink", exe, err)
	}
	threads, err := filepath.Glob(proc + "/task/*/children")
	if err != nil || len(threads) == 0 {
		t.Fatalf("no threads of the process found: %v", err)
	}
	for _, path := range threads {
		if children, err := os.ReadFile(path); err == nil && len(children) > 0 {
			t.Errorf("the relay has started child processes: %s", children)
		}
	}
}

// writeConfig writes a configuration with a discovery service that answers every request with 503, and returns the relay's address and
// environment.
func writeConfig(t *testing.T, dir string) (address string, env []string) {
	t.Helper()
	s, err := scenario.Read("../../scenarios/quiet.toml")
	if err != nil {
		t.Fatal(err)
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(discovery.Close)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = free.Addr().String()
	_ = free.Close()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": address, "discovery": strings.TrimPrefix(discovery.URL, "http://"),
		"seed": "1f", "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, "settings": s.RelaySettings(0),
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	return address, []string{"NODE_CONFIG=" + path, "NODE_STATE=" + t.TempDir()}
}
