"""Starts the gateway with the plug-in of the Consorcio's platform."""

import gc
import os
import signal
import sys

# By default it ends a process, and the imports below take a while.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# aiohttp reads all certificates when it is imported, and no connection uses
# TLS.  Callers wait for the end of the imports when an instance restarts.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
gc.disable()

from cardamom_gateway import cli  # noqa: E402

gc.freeze()
gc.enable()
sys.exit(cli.run("consorcio", "cardamom_wire.plugin"))
