package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

// Faults of an address to listen on.
var (
	errNotIP   = errors.New("its host is neither an IP address nor localhost")
	errNotPort = errors.New("its port is not a number from 0 to 65535")
)

// validateAddresses checks the addresses of the configuration. SIGHUP reads the same file as the next start, so an address that no
// process could listen on must be reported by both.
func (c *Config) validateAddresses() *ConfigError {
	if c.Listen == "" {
		return &ConfigError{Key: "listen", Reason: errMissing}
	}
	if err := checkListenAddress(c.Listen); err != nil {
		return &ConfigError{Key: "listen", Reason: err}
	}
	if c.AdminAddress != "" {
		if err := checkListenAddress(c.AdminAddress); err != nil {
			return &ConfigError{Key: "management", Reason: err}
		}
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return &ConfigError{Key: "discovery", Reason: err}
	}
	return nil
}

// checkListenAddress returns an error if no process can listen on an address, whatever machine it runs on. The platform has no DNS, so the
// host is an IP address, localhost, or empty for all addresses of the machine.
func checkListenAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err //nolint:wrapcheck // the error names the address
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("address %q: %w", address, errNotPort)
	}
	if host == "" || host == "localhost" {
		return nil
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Errorf("address %q: %w", address, errNotIP)
	}
	return nil
}
