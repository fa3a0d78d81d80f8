#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the gateway: the stand-ins are plain JavaScript, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [0-9]*/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
