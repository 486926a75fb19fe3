#!/bin/sh
# Builds, checks format, lints, vets and tests. Tests listed in KNOWN-RED.txt
# are passed over and printed.
set -eu

known_red() {
	[ -f KNOWN-RED.txt ] || return 0
	sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's#/#$/^#g; s#^#^#; s#$#$#' | paste -sd '|' -
}

echo "== build"
$GO build ./...
echo "== format"
unformatted=$(gofmt -l cmd internal pkg platform)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted"
	exit 1
fi
echo "== vet"
$GO vet ./...
echo "== lint"
$GO tool staticcheck ./...

red=$(known_red)
if [ -n "$red" ]; then
	echo "== known red, passed over"
	cat KNOWN-RED.txt
	set -- -skip "$red"
else
	set --
fi
echo "== test"
$GO test "$@" ./...
echo "== race"
$GO test -race "$@" $CONCURRENT
echo "== apart: clients that keep to no limit, one crowd at a time"
$GO vet -tags apart ./cmd/marjoram
$GO tool staticcheck -tags apart ./cmd/marjoram
$GO test -tags apart -count 1 -run TestHostileClients "$@" ./cmd/marjoram
echo "== done"
