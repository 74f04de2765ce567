"""Starts the gateway with the plug-in of the Consorcio's platform."""

import sys

from cardamom_gateway import cli

sys.exit(cli.run("consorcio", "cardamom_wire.plugin"))
