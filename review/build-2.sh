#!/bin/sh
# Builds what the scripts of review/4 and later start, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
for file in review/[4-8]/case.mjs; do
  name=$(basename "$(dirname "$file")")
  node_modules/.bin/esbuild "$file" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review-2/$name.mjs" --log-level=warning || exit 1
done
