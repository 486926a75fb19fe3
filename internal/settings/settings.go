// Package settings checks what a process is told by flags and environment, and
// reports every fault at once.
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

// Checker collects the faults of settings.
type Checker struct {
	faults    []string
	listeners []net.Listener
}

// Fault records a fault of the setting.
func (c *Checker) Fault(setting, format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("--%s: %s", setting, fmt.Sprintf(format, args...)))
}

// Name checks a kebab-case name.
func (c *Checker) Name(setting, value string) {
	if !document.ValidName(value) {
		c.Fault(setting, "got %q, expected a kebab-case name", value)
	}
}

// VMName checks the name of a VM or availability zone that the platform gave.
func (c *Checker) VMName(setting, value string) {
	if value == "" || len(value) > longestName || strings.ContainsAny(value, " \t\n\"=") {
		c.Fault(setting, "got %q, expected a name without spaces, at most %d characters", value, longestName)
	}
}

const longestName = 100

// Address checks an IP number and port. Host names are refused.
func (c *Checker) Address(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fault(setting, "got %q, expected an IP number and port such as 127.0.0.1:7000", value)
	}
}

// Addresses checks a list of IP numbers and ports.
func (c *Checker) Addresses(setting string, values []string) {
	for _, v := range values {
		c.Address(setting, v)
	}
}

// Range checks that a number lies between least and most.
func (c *Checker) Range(setting string, value, least, most int) {
	if value < least || value > most {
		c.Fault(setting, "got %d, expected %d to %d", value, least, most)
	}
}

// Share reads a share above 0 and at most 1, in thousandths.
func (c *Checker) Share(setting, value string) int {
	share, err := strconv.ParseFloat(value, 64)
	if err != nil || !(share > 0 && share <= 1) {
		c.Fault(setting, "got %q, expected a number above 0 and at most 1", value)
		return 0
	}
	return max(int(share*thousandths), 1)
}

const thousandths = 1000

// Level reads a log level.
func (c *Checker) Level(setting, value string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(value)); err != nil {
		c.Fault(setting, "got %q, expected debug, info, warn or error", value)
	}
	return level
}

// Listen opens a TCP listener at an IP number and port; port 0 takes any free
// one. It returns nil after a fault.
func (c *Checker) Listen(setting, value string) net.Listener {
	before := len(c.faults)
	c.Address(setting, value)
	if len(c.faults) > before {
		return nil
	}
	listener, err := net.Listen("tcp", value)
	if err != nil {
		c.Fault(setting, "cannot listen at %s: %v", value, err)
		return nil
	}
	c.listeners = append(c.listeners, listener)
	return listener
}

// Err returns nil, or a fault with code BadSettings that lists all faults; the
// listeners opened are then closed.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	for _, l := range c.listeners {
		l.Close()
	}
	return result.New(result.BadSettings, "%d faults\n  %s", len(c.faults), strings.Join(c.faults, "\n  "))
}

// Variable returns the environment variable that stands for a flag, for example
// MARJORAM_PEER_ADDRESS for peer-address.
func Variable(flag string) string {
	return "MARJORAM_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
