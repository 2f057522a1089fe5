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
