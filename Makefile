PREFIX ?= /usr/local
VERSION ?= 0.1.0
BINARIES = marigoldscale marigoldscaled marigoldstand marigoldbench

.PHONY: build test bench demo faults fmt generate install

build:
	go build -ldflags '-X main.version=$(VERSION)' -o bin/ ./cmd/...

# MARIGOLD_SKIP is set by .ci/run to the tests that KNOWN-RED.txt lists.
test: build
	go test -race -timeout 20m $(if $(MARIGOLD_SKIP),-skip '$(MARIGOLD_SKIP)') ./...

bench: build
	./bin/marigoldbench --out out

demo: build
	./scripts/demo

faults:
	./scripts/faults

fmt:
	cd tools && go build -o ../bin/ mvdan.cc/gofumpt
	git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$' | xargs -r ./bin/gofumpt -w

generate:
	cd tools && go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/wire/wire.proto

install: build
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 755 bin/marigoldscale bin/marigoldscaled $(DESTDIR)$(PREFIX)/bin/
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1/
