#!/bin/sh
# Builds every stand-in that the scripts start, after the build of the deploy file. Run it from the repository's root.
set -e
for case in 1 2 3; do
  [ -f "review/$case/case.mjs" ] || continue
  node_modules/.bin/esbuild "review/$case/case.mjs" --bundle --platform=node --target=node20 \
    --format=esm --outfile="target/review/case-$case.mjs" --log-level=warning
done
