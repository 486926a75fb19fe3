#!/bin/sh
# Builds what the scripts start besides the project's program: review/bin/standin.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
go build -buildvcs=false -o ../bin/standin .
