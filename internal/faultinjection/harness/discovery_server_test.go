package harness

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"frostlink/internal/faultinjection/checker"
)

// discoveryClient makes requests to the discovery stand-in as a relay does.
type discoveryClient struct{ url string }

func (c discoveryClient) get(t *testing.T, path string) (*http.Response, *bufio.Reader) {
	t.Helper()
	resp, err := http.Get(c.url + path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp, bufio.NewReader(resp.Body)
}

// readList reads the next list or watch event.
func readList(t *testing.T, in *bufio.Reader) (list endpointList) {
	t.Helper()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.TrimSpace(line) == "" {
			continue // an empty line, which only keeps the connection alive
		}
		if err := json.Unmarshal([]byte(line), &list); err != nil {
			t.Fatal(err)
		}
		return list
	}
}

// A watch notifies of changes. A failure of discovery ends the watch and rejects a new one, but notifications are still received.
func TestDiscoveryServer_NotifiesAndFails(t *testing.T) {
	h := newHarnessWithoutRelays(t, loadScenario(t, 50, 5, 1, 2, 4, 4, 1))
	client := discoveryClient{"http://" + h.relays[0].discovery}
	if _, in := client.get(t, "/catalog/members"); len(readList(t, in).Hosts) != 2 {
		t.Error("the complete list does not have both endpoints")
	}
	_, watch := client.get(t, "/catalog/members?stream=1&index=2")
	if list := readList(t, watch); list.Whole || len(list.Hosts) != 0 {
		t.Errorf("a watch from the present version on begins with %+v, want no changes", list)
	}
	e := h.destinations[1].endpoints[0]
	h.discovery.publish(e, checker.Draining)
	if list := readList(t, watch); list.Whole || len(list.Hosts) != 1 || list.Hosts[0].Host != e.id || list.Hosts[0].Health != checker.Draining || list.Seq != 3 {
		t.Errorf("watch event of a drain: %+v", list)
	}
	h.discovery.publish(e, checker.Deleted)
	if list := readList(t, watch); list.Hosts[0].Health != checker.Deleted {
		t.Errorf("watch event of a deletion: %+v", list)
	}
	if _, in := client.get(t, "/catalog/members?stream=1&index=0"); len(readList(t, in).Hosts) != 1 {
		t.Error("a deleted endpoint is in the complete list")
	}
	h.discovery.setFailure(discoveryUnavailable)
	if _, err := io.ReadAll(watch); err == nil {
		t.Error("the watch did not end with a broken connection")
	}
	if resp, _ := client.get(t, "/catalog/members?stream=1&index=4"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("watch while discovery fails: %s, want 503", resp.Status)
	}
	s := h.addSubmission(0)
	resp, err := http.Post(client.url+"/v1/outcomes", "", strings.NewReader(`{"id":"`+s.id+`","status":"undeliverable"}`+"\n"))
	if err != nil || resp.StatusCode != http.StatusNoContent || countEvents(h, checker.Notified) != 1 {
		t.Errorf("notification while discovery fails: %v, %v", resp, err)
	}
	if resp, err := http.Post(client.url+"/v1/outcomes", "", strings.NewReader("{}\n")); err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("malformed notification: %v, %v", resp, err)
	}
	notified := 0
	for _, event := range h.eventLog() {
		if event.Kind == checker.EndpointNotified && event.Endpoint == e.id && event.State != checker.Serving {
			notified++
		}
	}
	if notified < 2 {
		t.Errorf("%d notifications of the endpoint's changes recorded, want at least 2", notified)
	}
}
