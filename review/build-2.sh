#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the JDK alone, into standins-2/out.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf out
mkdir out
javac -Xlint:all -d out ./*.java
