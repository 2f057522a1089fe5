# Everything is built by the go command; these are the usual calls.
MODULES := core oleander proving

.PHONY: build test lint

build:
	go build -o bin/ ./oleander/cmd/...

test:
	go test $(foreach m,$(MODULES),./$(m)/...)

lint:
	go vet $(foreach m,$(MODULES),./$(m)/...)
	cd proving && go tool staticcheck $(foreach m,$(MODULES),../$(m)/...)

.PHONY: generate

# Needs protoc; the two plugins are pinned in proving/go.mod.
generate:
	mkdir -p bin
	cd proving && go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc -I oleander/connection/peer/peerpb \
		--go_out=oleander/connection/peer/peerpb --go_opt=paths=source_relative \
		--go-grpc_out=oleander/connection/peer/peerpb --go-grpc_opt=paths=source_relative \
		oleander/connection/peer/peerpb/peer.proto
