# Targets: build, demo, test, model, fuzz, lint, bench, profile, generate, docs, clean. Requires
# Go, gcc and make; targets install their other tools, except for protoc, which generate
# needs on the PATH.

BIN := $(CURDIR)/.cache/bin

.PHONY: build demo test model fuzz lint bench profile generate docs clean

build:
	go build -o bin/rhubarbwood ./cmd/rhubarbwood

# Starts a platform stand-in, targets and three hosts on loopback, runs a search
# and a reservation, and then serves until interrupted.
demo: build
	./bin/rhubarbwood demo

# The fuzz tests run before the other tests: make stops at the first failure, and a test that is known to fail
# must not keep them from running.
test: model
	go vet ./...
	tools/fuzz.sh 2000
	go test -timeout 400s ./...

# Checks the protocol models with spin, and that it finds the faults in their broken variants.
model:
	tools/spin.sh
	model/check.sh

# A longer run of the fuzz tests, about five minutes.
fuzz:
	tools/fuzz.sh 500000

lint: $(BIN)/staticcheck
	@unformatted=$$(gofmt -l cmd design examples internal platform); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	$(BIN)/staticcheck ./...

$(BIN)/staticcheck: tools/go.mod tools/go.sum
	cd tools && GOBIN=$(BIN) go install honnef.co/go/tools/cmd/staticcheck

# A short load test of the policy; takes at most five minutes.
bench: build
	./bin/rhubarbwood load --bench

# CPU profile of the benchmark of the request path.
profile:
	mkdir -p .cache
	go test ./internal/gateway -run '^$$' -bench BenchmarkGather -benchtime 3s -o .cache/gateway.test -cpuprofile .cache/gather.prof
	go tool pprof -top -cum -nodecount 60 .cache/gateway.test .cache/gather.prof

generate:
	tools/generate.sh

clean:
	rm -rf bin .cache

# Regenerates the pages that are generated from the code, and the examples.
docs:
	go test ./internal/cli ./internal/host ./examples -run 'Page|Files' -update
