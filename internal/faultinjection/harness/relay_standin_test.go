package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// standInEnv is the environment variable that makes the test program run as a stand-in for a relay, with the misbehavior that the
// variable names.
const standInEnv = "REHEARSAL_STAND_IN"

// misbehavior is the name that the tests give to the single way in which a stand-in misbehaves.
type misbehavior string

const (
	losesRequests      misbehavior = "loses"
	outcomeTooLate     misbehavior = "ends late"
	outcomeTwice       misbehavior = "ends twice"
	executesTwice      misbehavior = "doubles"
	concurrentAttempts misbehavior = "two copies"
	ignoresDrains      misbehavior = "ignores drains"
	overloads          misbehavior = "pushes over"
	breaksOrder        misbehavior = "out of order"
	ignoresRetryAfter  misbehavior = "ignores waits"
	wrongEndpoint      misbehavior = "wrong host"
	redeliversExecuted misbehavior = "resends"
	forgetsKeyExpiry   misbehavior = "resends past the key"
	overwrites         misbehavior = "overwrites"
	inventsMessages    misbehavior = "makes up ids"
	usesAllSlack       misbehavior = "edges" // no violation: the stand-in does everything as late as the rules allow
	crashes            misbehavior = "crashes"
	doesNotAnswer      misbehavior = "mute"
	ignoresSIGTERM     misbehavior = "stubborn"
	forgetsEnds        misbehavior = "forgets ends"
	onlyForwards       misbehavior = "trivial"
)

// The destinations of plantedScenario.
const (
	destinationDrops = iota // drops responses, and one of its endpoints drains
	destinationWaits        // rejects with a Retry-After
	destinationFalls        // has an outage
	destinationOther        // has no faults
)

const (
	// drainSlack is how long a stand-in that uses all slack still sends to a draining endpoint.
	drainSlack = 400 * time.Millisecond
	// outcomeSlack is how long after a deadline such a stand-in still attempts a message.
	outcomeSlack = 300 * time.Millisecond
	// outcomeReserve is how long before a deadline the other stand-ins give up, so that their notification is in time.
	outcomeReserve = 400 * time.Millisecond
	// orderKeyCooldown is the time from the end of a message until its order key may be used again: by then, the platform has
	// been notified of the outcome.
	orderKeyCooldown = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	kind := os.Getenv(standInEnv)
	if kind == "" {
		os.Exit(m.Run())
	}
	if err := runStandIn(misbehavior(kind)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// relayStandIn is the simplest possible relay. It complies with all rules except the one that its misbehavior breaks.
type relayStandIn struct {
	misbehavior misbehavior
	config      standInConfig
	client      *http.Client
	terminated  atomic.Bool // SIGTERM has arrived, in stand-ins that it does not end

	mu            sync.Mutex // guards everything below
	endpoints     map[string]*standInEndpoint
	retryAt       map[int]time.Time    // by destination: when attempts may be sent again
	paced         map[int]bool         // by destination: attempts are paced by pacedInterval, since one has failed
	lastSent      map[int]time.Time    // by destination: when the last attempt was sent
	orderKeys     map[string]chan bool // by order key: contains a value while a message with the key is in progress
	accepted      int
	lastDelivered map[string]*standInMessage // by destination and subject
}

// standInConfig is the part of the platform's configuration that a stand-in reads.
type standInConfig struct {
	Listen    string
	Discovery string
	Known     struct{ Hosts []listedEndpoint }
	Settings  struct {
		Categories []struct {
			Name, Idempotency string
			FifoByKey         bool    `json:"fifo_by_key"`
			MemorySpanS       float64 `json:"memory_span_s"`
		}
	}
}

// listedEndpoint is the part of an entry of the endpoint list that a stand-in reads.
type listedEndpoint struct {
	Host, Dial, Health string
	Block              int
}

// standInEndpoint is the state that a stand-in keeps of an endpoint.
type standInEndpoint struct {
	addr        string
	destination int
	drainedAt   time.Time // zero: it is not draining
}

// standInMessage is a message that a stand-in has accepted.
type standInMessage struct {
	id, key, orderKey, class string
	subject                  string // prefixed with the destination; empty: none
	destination, number      int
	body                     []byte
	deadline                 time.Time
	idempotency              string
	keyTTL                   time.Duration
	ordered                  bool
}

// runStandIn runs a stand-in until its process is killed.
func runStandIn(m misbehavior) error {
	s := &relayStandIn{
		misbehavior: m, endpoints: map[string]*standInEndpoint{}, retryAt: map[int]time.Time{}, paced: map[int]bool{},
		lastSent: map[int]time.Time{}, lastDelivered: map[string]*standInMessage{}, orderKeys: map[string]chan bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
	}
	raw, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err == nil {
		err = json.Unmarshal(raw, &s.config)
	}
	if err != nil {
		return err
	}
	for _, e := range s.config.Known.Hosts {
		s.endpoints[e.Host] = &standInEndpoint{addr: e.Dial, destination: e.Block}
	}
	switch m {
	case crashes:
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	case ignoresSIGTERM:
		signal.Ignore(syscall.SIGTERM)
	case closesReadRequests, endsOnSecondSIGTERM, losesStateAtRestart:
		signal.Ignore(syscall.SIGHUP)
		s.onTermination()
	default: // all others misbehave when they handle messages
	}
	go s.watchEndpoints()
	ln, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return err
	}
	return http.Serve(ln, http.HandlerFunc(s.serve))
}

// watchEndpoints watches the endpoint list, and starts a new watch whenever one ends.
func (s *relayStandIn) watchEndpoints() {
	for {
		if resp, err := http.Get("http://" + s.config.Discovery + "/catalog/members?stream=1&index=0"); err == nil {
			in := bufio.NewScanner(resp.Body)
			in.Buffer(nil, 1<<20)
			for in.Scan() {
				var event struct{ Hosts []listedEndpoint }
				if json.Unmarshal(in.Bytes(), &event) == nil {
					s.updateEndpoints(event.Hosts)
				}
			}
			_ = resp.Body.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *relayStandIn) updateEndpoints(changed []listedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range changed {
		if s.endpoints[e.Host] == nil {
			s.endpoints[e.Host] = &standInEndpoint{addr: e.Dial, destination: e.Block}
		}
		if e.Health != "SERVING" && s.endpoints[e.Host].drainedAt.IsZero() {
			s.endpoints[e.Host].drainedAt = time.Now()
		}
	}
}

// serve accepts a client's message.
func (s *relayStandIn) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/_health" {
		return
	}
	body, _ := io.ReadAll(req.Body)
	if s.misbehavesAtShutdown(w) {
		return
	}
	if s.misbehavior == doesNotAnswer {
		select {} // holds the connection open forever
	}
	m := s.message(req, body)
	ctx := context.WithoutCancel(req.Context()) // the delivery continues after the submission
	if s.misbehavior == onlyForwards {
		w.WriteHeader(http.StatusAccepted)
		go s.attempt(ctx, m, s.endpointFor(m, 0), m.deadline)
		return
	}
	s.mu.Lock()
	s.accepted++
	m.number = s.accepted
	s.mu.Unlock()
	if !m.ordered || s.misbehavior == breaksOrder {
		go s.deliver(ctx, m)
	} else if !s.deliverOrdered(ctx, m) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// message returns the message of a submission.
func (s *relayStandIn) message(req *http.Request, body []byte) *standInMessage {
	destination, _ := strconv.Atoi(strings.TrimPrefix(req.Header.Get("X-Envelope"), "dest="))
	timeLeft, _ := strconv.ParseFloat(req.Header.Get("Request-Timeout"), 64)
	m := &standInMessage{
		id: req.Header.Get("Request-Id"), key: req.Header.Get("Idempotency-Key"), destination: destination, body: body,
		class: req.URL.Path[1:], deadline: time.Now().Add(time.Duration(timeLeft * float64(time.Second))),
	}
	if subject := req.Header.Get("Subject"); subject != "" {
		m.subject = fmt.Sprint(destination, " ", subject)
	}
	if key, err := req.Cookie("subject"); err == nil {
		m.orderKey = key.Value
	}
	for _, c := range s.config.Settings.Categories {
		if c.Name == m.class {
			m.idempotency, m.ordered, m.keyTTL = c.Idempotency, c.FifoByKey, time.Duration(c.MemorySpanS*float64(time.Second))
		}
	}
	return m
}

// deliverOrdered accepts a message of an ordered class if no other message with its order key is in progress, and starts to deliver
// it. It reports whether the message was accepted.
func (s *relayStandIn) deliverOrdered(ctx context.Context, m *standInMessage) bool {
	s.mu.Lock()
	inUse := s.orderKeys[m.orderKey]
	if inUse == nil {
		inUse = make(chan bool, 1)
		s.orderKeys[m.orderKey] = inUse
	}
	s.mu.Unlock()
	select {
	case inUse <- true:
	default:
		return false
	}
	go func() {
		s.deliver(ctx, m)
		time.Sleep(orderKeyCooldown)
		<-inUse
	}()
	return true
}
