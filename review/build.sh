#!/bin/bash
# The stand-ins of the review are plain JavaScript without dependencies; there is nothing to compile. This checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]*/*.mjs; do
    node --check "$file"
done
