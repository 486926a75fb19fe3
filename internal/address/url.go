package address

import (
	"net/netip"
	"net/url"
)

// URL returns the URL of a path at a host and port. The usual addresses need no parsing of the
// whole URL.
func URL(host, path string) (*url.URL, error) {
	if a, err := netip.ParseAddrPort(host); err != nil || !a.Addr().Is4() {
		return url.Parse("http://" + host + path)
	}
	return &url.URL{
		Scheme: "http",
		Host:   host,
		Path:   path,
	}, nil
}
