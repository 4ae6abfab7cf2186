// Package pressure loads one relay process with hostile clients, and measures what the relay holds meanwhile and how many of an
// ordinary client's requests it answers in time. The relay is the real program, in a process with the limits that its configuration
// states; everything around it is a stand-in on loopback addresses.
//
// Package harness plays scenarios with many relays and judges them by the platform's rules. This package measures a single relay
// near its limits, where the amount of memory and the latency of single answers matter.
//
// Files:
//
//   - platform.go: the stand-ins of discovery, endpoints and the notice receiver
//   - relay.go: the processes of the relay, and its configuration
//   - usage.go: the peak memory of the relay's processes and the files in its folder
//   - ordinary.go: an ordinary client with a constant rate of requests
//   - crowd.go: a crowd of hostile clients, which reconnect when they are disconnected
//   - behavior.go: what each kind of hostile client does on its connection
package pressure
