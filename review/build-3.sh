#!/bin/sh
# Builds the stand-ins of cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
go build -C review/standin-3 -o "$PWD/bin/standin-3" .
