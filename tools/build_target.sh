#!/bin/sh
# Put what an instance needs under target/deps: its libraries and the product.
# A build that finds nothing changed touches nothing, as processes may be
# starting from it.
set -eu
deps=target/deps
mkdir -p "$deps"
if [ ! -d "$deps/urllib3" ] || [ requirements-instance.txt -nt "$deps/urllib3" ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target "$deps" \
        -r requirements-instance.txt -c constraints.txt
    touch "$deps/urllib3"
fi
sources=$(find libs/*/src app/src platform/src -name '*.py' | sort)
# shellcheck disable=SC2086
digest=$(cat $sources | cksum)
if [ "$(cat target/digest 2>/dev/null || true)" = "$digest" ]; then
    exit 0
fi
fresh=target/fresh.$$
mkdir -p "$fresh"
for src in libs/*/src app/src platform/src; do
    cp -R "$src/." "$fresh/"
done
find "$fresh" -name '*.egg-info' -prune -exec rm -rf {} +
python3 -m compileall -q "$fresh/catkinknot"
if [ -d "$deps/catkinknot" ]; then
    mv "$deps/catkinknot" "$fresh.old"
fi
mv "$fresh/catkinknot" "$deps/catkinknot"
rm -rf "$fresh" "$fresh.old"
echo "$digest" > target/digest
