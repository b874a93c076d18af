#!/bin/sh
# demo.sh FOLDER: runs both example deployments on the embedded stand-ins.
set -eu
cd "$(dirname "$0")/.."
folder=$1
status=0
for deployment in consortium borne-verte; do
    rm -rf "out/demo/$deployment"
    "$folder/rehearsal/quinceroute-rehearsal" demo --build "$folder" \
        --deployment "examples/$deployment.ini" --folder "out/demo/$deployment" || status=$?
done
exit $status
