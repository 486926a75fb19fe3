#!/bin/sh
# Runs every fuzz target for FUZZTIME.
set -eu
for package in $($GO list ./...); do
	for target in $($GO test -list '^Fuzz' "$package" | grep '^Fuzz' || true); do
		echo "== $package $target"
		$GO test -run '^$' -fuzz "^$target\$" -fuzztime "$FUZZTIME" "$package"
	done
done
