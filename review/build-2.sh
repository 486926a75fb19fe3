#!/bin/sh
# Builds the stand-ins of the second review.
set -eu
cd "$(dirname "$0")/standin-2"
go build -o ../bin/standin-2 .
