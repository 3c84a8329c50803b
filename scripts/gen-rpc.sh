#!/bin/sh
# Regenerates the committed ONC RPC code from peer.x (needs rpcgen from the
# package rpcsvc-proto); the build itself does not need the generator.
set -e
cd "$(dirname "$0")/../lib/net"
for part in -h:peer.h -c:peer_xdr.c -m:peer_svc.c; do
	out=${part#*:}
	rm -f "$out"
	rpcgen -M -N -C "${part%%:*}" -o "$out" peer.x
	sed -i 's/#include "peer.h"/#include "net\/peer.h"/' "$out"
done
