GO ?= go
CONCURRENT = ./internal/demonstrator/... ./internal/limiter/... ./internal/dispatcher/... ./internal/endpoint/... ./internal/entry/... ./internal/ledger/... ./internal/owner/... ./internal/peer/... ./internal/platform/... ./internal/ring/... ./internal/logger/... ./internal/standin/... ./internal/follower/... ./internal/registrar/... ./internal/caller/... ./internal/conductor/... ./internal/acceptor/... ./internal/mirror/... ./platform/...

.PHONY: build demo check fuzz experiments mutants bench clean

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/marjoram demo

check:
	GO="$(GO)" CONCURRENT="$(CONCURRENT)" sh tools/check.sh

fuzz:
	GO="$(GO)" FUZZTIME="$${FUZZTIME:-30s}" sh tools/fuzz.sh

experiments: build
	bin/marjoram-load run bench/*.yaml

mutants:
	GO="$(GO)" sh tools/mutants.sh

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin out
