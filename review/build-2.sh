#!/bin/sh
# Builds the stand-ins of the cases from 6 on, after the build of the deploy file: compiles them, and checks that
# they can be imported. It needs no network.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review/peers review/[0-9]*/case.py &&
    .venv/bin/python -B -c 'import review.peers.agent, review.peers.backend, review.peers.clients, review.peers.platform, review.peers.record'
