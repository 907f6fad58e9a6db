GO ?= go
LINT = $(GO) tool -modfile=tools/lint.mod golangci-lint
TOOL = $(GO) tool -modfile=tools/go.mod
BUF = $(GO) tool -modfile=tools/buf.mod buf

.PHONY: all build test lint format generate check-generated examples demo bench soak capacity

all: build

build:
	$(GO) build -o bin/ ./cmd/...

test:
	./.ci/test

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

generate:
	$(BUF) generate
	$(TOOL) wire gen ./internal/mangodaemon ./internal/mangoentry

check-generated: generate
	git diff --exit-code -- '*.pb.go' '*wire_gen.go'

examples: build
	for f in $(wildcard examples/*/settings/*.ini); do bin/mangopath check -f $$f || exit 1; done
	for f in $(wildcard examples/*/profiles.json); do bin/mangopath check --profiles $$f || exit 1; done

demo: build
	./scripts/demo

bench: build
	./scripts/bench

soak: build
	./scripts/soak

capacity: build
	./scripts/capacity
