#!/bin/bash
# Builds the stand-ins that the scripts start: the servers, the clients and the operator. The
# store is the project's own stand-in, a command of the program that the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/ ./cmd/pollengauge
go test -c -o target/review-world review/world/world_test.go review/world/cases_test.go
