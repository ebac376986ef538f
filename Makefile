# Commands for building, trying and testing crocusfold.

MODULES := core shell platform entry operator standin measure cmd proof script
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
STATICCHECK := go run honnef.co/go/tools/cmd/staticcheck@v0.8.2

.PHONY: build run up test fmt lint

build:
	@mkdir -p bin
	@go build -o bin/ ./cmd/...

# run starts a small deployment, shows its main path and stops it.
run: build
	@scripts/try run

# up starts a small deployment and leaves it running until interrupted.
up: build
	@scripts/try up

fmt:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); echo "run gofmt -w on these files"; exit 1; }

lint:
	go vet $(PACKAGES)
	$(STATICCHECK) $(PACKAGES)

# The main path of run is checked on a loopback address of its own.
test: fmt lint build
	@scripts/try run 127.20.0.11
	@scripts/test $(PACKAGES)
