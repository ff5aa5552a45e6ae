#!/usr/bin/env bash
# Compiles the stand-ins of all cases. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac --release 17 -Xlint:all -Werror -d out standins/*.java
