"""Runs the soak from the command line."""

import asyncio
import pathlib

import typer

from tests.soak import builds
from tests.soak import soak as soak_module

FOLDER = pathlib.Path("build/gateway-soak")


def main(
    seed: int = 1,
    seconds: float = 30.0,
    instances: int = 4,
    from_commit: str = "",
    cold: bool = False,
) -> None:
    """Run one seed; exit with 1 if a promise was broken.

    With a commit, all instances begin on its build and are replaced.  With
    ``cold``, replicas that restart bear only few requests a second at first.
    """
    folder = FOLDER / f"{seed}-{instances}{from_commit and '-'}{from_commit}"
    earlier = builds.prepare(from_commit, FOLDER) if from_commit else None
    soak = soak_module.Soak(
        seed, seconds, instances, folder, (), earlier, cold
    )
    violations = asyncio.run(soak.run())
    print(f"seed {seed}, {instances} instances, {seconds:.0f} s")
    print(soak.summary())
    (folder / "events.txt").write_text("\n".join(soak.ledger.events))
    for violation in violations[:20]:
        print(f"VIOLATION {violation}")
    print(f"{len(violations)} violations; logs in {folder}")
    raise typer.Exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
