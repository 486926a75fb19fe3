// Package address checks addresses that other writers state, and makes URLs of them.
//
// # Usage
//
//	if err := address.CheckHost(row.Address); err != nil { ... } // not to be called
package address

import (
	"net/netip"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("address")

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// CheckHost returns an error if the text isn't the IP address and port of one host. A
// zone can't be part of a URL, and the unspecified address is this host.
func CheckHost(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return Error.New("%.60q is not an IP address and port", text)
	}
	ip := parsed.Addr().Unmap()
	if parsed.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return Error.New("%.60q is not that of one host", text)
	}
	return nil
}
