// Package settings validates the settings that a process gets from flags and
// environment variables. One error reports all invalid settings.
//
// # Usage
//
//	var check settings.Checker
//	check.Name("zone", zone)
//	listener := check.Listen("caller-address", address)
//	if err := check.Err(); err != nil { ... }
package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"

	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// Checker validates settings and collects their errors.
type Checker struct {
	faults    []string
	listeners []net.Listener
}

// Fault records that the setting is invalid, with a formatted reason.
func (c *Checker) Fault(setting, format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("--%s: %s", setting, fmt.Sprintf(format, args...)))
}

// Name checks that value is a kebab-case name.
func (c *Checker) Name(setting, value string) {
	if !document.ValidName(value) {
		c.Fault(setting, "got %q, expected a kebab-case name", value)
	}
}

// VMName checks the name of a VM or availability zone as assigned by the
// platform: at most 100 characters, without spaces, quotes and equals signs.
func (c *Checker) VMName(setting, value string) {
	if value == "" || len(value) > maxNameLength || strings.ContainsAny(value, " \t\n\"=") {
		c.Fault(setting, "got %q, expected a name without spaces, at most %d characters", value, maxNameLength)
	}
}

const maxNameLength = 100

// Address checks that value is an IP address and port. Host names are rejected.
func (c *Checker) Address(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fault(setting, "got %q, expected an IP address and port such as 127.0.0.1:7000", value)
	}
}

// Addresses checks that each value is an IP address and port.
func (c *Checker) Addresses(setting string, values []string) {
	for _, v := range values {
		c.Address(setting, v)
	}
}

// Range checks that lowest <= value <= highest.
func (c *Checker) Range(setting string, value, lowest, highest int) {
	if value < lowest || value > highest {
		c.Fault(setting, "got %d, expected %d to %d", value, lowest, highest)
	}
}

// Share parses a share above 0 and at most 1. It returns it in thousandths, at
// least 1, or 0 if it is invalid.
func (c *Checker) Share(setting, value string) int {
	share, err := strconv.ParseFloat(value, 64)
	if err != nil || !(share > 0 && share <= 1) {
		c.Fault(setting, "got %q, expected a number above 0 and at most 1", value)
		return 0
	}
	return max(int(share*permille), 1)
}

const permille = 1000

// Level parses a log level.
func (c *Checker) Level(setting, value string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(value)); err != nil {
		c.Fault(setting, "got %q, expected debug, info, warn or error", value)
	}
	return level
}

// Listen opens a TCP listener on an IP address and port. Port 0 selects a free
// port. It returns nil if the setting is invalid or the listener cannot be opened.
func (c *Checker) Listen(setting, value string) net.Listener {
	before := len(c.faults)
	c.Address(setting, value)
	if len(c.faults) > before {
		return nil
	}
	listener, err := net.Listen("tcp", value)
	if err != nil {
		c.Fault(setting, "cannot listen on %s: %v", value, err)
		return nil
	}
	c.listeners = append(c.listeners, listener)
	return listener
}

// Err returns nil if all settings are valid. Otherwise it closes the listeners
// that Listen opened and returns an error with code BadSettings that lists all
// invalid settings.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	for _, l := range c.listeners {
		l.Close()
	}
	return result.New(result.BadSettings, "%d invalid settings\n  %s", len(c.faults), strings.Join(c.faults, "\n  "))
}

// Variable returns the name of the environment variable for a flag, for example
// MARJORAM_PEER_ADDRESS for peer-address.
func Variable(flag string) string {
	return "MARJORAM_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
