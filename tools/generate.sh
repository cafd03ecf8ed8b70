#!/usr/bin/env bash
# Regenerates the committed code: goa under gen/, protobuf and drpc under
# internal/peer/peerpb, protobuf under internal/delivery/deliverypb. Needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/.cache/bin
mkdir -p "$bin"
(cd tools && GOBIN=$bin go install goa.design/goa/v3/cmd/goa storj.io/drpc/cmd/protoc-gen-go-drpc google.golang.org/protobuf/cmd/protoc-gen-go)
PATH=$bin:$PATH protoc -I internal/peer/peerpb \
  --go_out=. --go_opt=module=rhubarbwood.example/rhubarbwood \
  --go-drpc_out=. --go-drpc_opt=module=rhubarbwood.example/rhubarbwood \
  internal/peer/peerpb/peer.proto
PATH=$bin:$PATH protoc -I internal/delivery/deliverypb \
  --go_out=. --go_opt=module=rhubarbwood.example/rhubarbwood \
  internal/delivery/deliverypb/delivery.proto
PATH=$bin:$PATH goa gen rhubarbwood.example/rhubarbwood/design
