#!/usr/bin/env bash
# Generates src/gen/*_pb.ts of the package packages/NAME from its proto files. The generated files are committed.
# Usage: scripts/generate.sh NAME
set -euo pipefail
cd "$(dirname "$0")/.."
npx buf generate "packages/$1/proto" --template "{\"version\":\"v2\",\"plugins\":[{\"local\":\"protoc-gen-es\",\"out\":\"packages/$1/src/gen\",\"opt\":[\"target=ts\",\"import_extension=js\"]}]}"
