#!/bin/sh
# Put what an instance needs under target/deps: its libraries and the product.
set -eu
deps=target/deps
if [ ! -d "$deps/urllib3" ] || [ requirements-instance.txt -nt "$deps/urllib3" ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target "$deps" \
        -r requirements-instance.txt -c constraints.txt
    touch "$deps/urllib3"
fi
rm -rf "$deps/catkinknot"
for src in libs/*/src app/src platform/src; do
    cp -R "$src/." "$deps/"
done
python3 -m compileall -q "$deps/catkinknot"
