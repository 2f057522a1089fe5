# Targets for common go commands.
MODULES := core oleander platform proving

.PHONY: build test lint processes long bench

# RED lists the tests that are known to fail: the names at the start of the lines of
# KNOWN-RED.txt.
empty :=
RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null)
SKIP := $(if $(RED),^($(subst $(empty) $(empty),|,$(RED)))$$)

# CROWDS matches the tests of callers that take all they can get: one runs at a time, beside no other test.
CROWDS := MisbehavingCallers
CROWD_PACKAGES := ./platform/soak ./proving/processes

# Time that the tests of one package may take: the soak plays its real processes one after the other.
TEST_TIMEOUT ?= 40m

# Duration of `make long`, which injects random faults.
LONG ?= 5m

build:
	go build -o bin/ ./oleander/cmd/...

test:
	go test -timeout $(TEST_TIMEOUT) -skip '$(if $(SKIP),$(SKIP)|)$(CROWDS)' $(foreach m,$(MODULES),./$(m)/...)
	go test -timeout $(TEST_TIMEOUT) -p 1 -run '$(CROWDS)' $(if $(SKIP),-skip '$(SKIP)') $(CROWD_PACKAGES)

lint:
	go vet $(foreach m,$(MODULES),./$(m)/...)
	cd proving && go tool staticcheck $(foreach m,$(MODULES),../$(m)/...)

processes:
	go test -count=1 -v -run TestEveryInstanceServes ./proving/processes

long:
	OLEANDERDALE_LONG=$(LONG) go test -count=1 -v -timeout 0 -run TestLongRun ./proving/fleet

bench:
	go test -run XXX -bench . -benchmem $(foreach m,$(MODULES),./$(m)/...)

.PHONY: tools generate

# Developer tools: gopls renames identifiers. Its newer releases need a newer Go.
tools:
	go install golang.org/x/tools/gopls@v0.21.1

# Needs protoc. The versions of the two plugins are pinned in proving/go.mod.
generate:
	mkdir -p bin
	cd proving && go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc -I oleander/connection/peer/peerpb \
		--go_out=oleander/connection/peer/peerpb --go_opt=paths=source_relative \
		--go-grpc_out=oleander/connection/peer/peerpb --go-grpc_opt=paths=source_relative \
		oleander/connection/peer/peerpb/peer.proto
