#!/bin/sh
# The bulletin is silent for 12 s; set-ups go on to an exchange that drains (35 s).
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the
# disruption. Needs the build of deploy/balancer.toml and review/build-2.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/out/Outage.class ] && [ -f target/coralcove.jar ] || { echo "not built"; exit 2; }
exec java -Xmx512m -cp review/standins-2/out Outage review/9
