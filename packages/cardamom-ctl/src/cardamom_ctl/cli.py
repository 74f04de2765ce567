"""The commands of cardamomctl."""

import enum
import itertools
import json
import pathlib
import secrets
import sys
import typing

import typer

from cardamom_config import folders
from cardamom_ctl import client as clients
from cardamom_ctl import traces

APPLY_TRIES = 3


class Exit(enum.IntEnum):
    """The exit codes of cardamomctl."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHED = 5
    NOT_YET_IN_FORCE = 6
    NOT_FOUND = 7


EXIT_TEXT = """
Exit codes: 0 done; 1 the instance refused; 2 wrong usage; 3 the folder has
errors; 4 another operator was first; 5 no instance answered; 6 accepted, but
not yet in force everywhere; 7 no log line names the request.
"""

app = typer.Typer(
    help=f"Operate a cardamomway fleet.\n{EXIT_TEXT}",
    add_completion=False,
    no_args_is_help=True,
)
key_app = typer.Typer(help="Create, withdraw and list keys.")
drain_app = typer.Typer(help="Drain an instance or a target.")
app.add_typer(key_app, name="key")
app.add_typer(drain_app, name="drain")

Folder = typing.Annotated[
    pathlib.Path,
    typer.Argument(help="Folder of .yaml and .toml files."),
]
Urls = typing.Annotated[
    str,
    typer.Option(
        "--operators",
        envvar="CARDAMOM_OPERATORS",
        help="Operator addresses, separated by commas.",
    ),
]
OperatorKey = typing.Annotated[
    str,
    typer.Option(envvar="CARDAMOM_OPERATOR_KEY", help="Operator key."),
]
AsJson = typing.Annotated[
    bool,
    typer.Option("--json", help="Print one JSON document."),
]

DEFAULT_URL = "http://127.0.0.1:8082"


@app.command()
def check(folder: Folder, as_json: AsJson = False) -> None:
    """Check a folder and print every error with file and line."""
    loaded = folders.load_folder(folder)
    if as_json:
        problems = [
            {
                "file": p.file,
                "line": p.line,
                "field": p.field,
                "message": p.message,
            }
            for p in loaded.problems
        ]
        print(json.dumps({"ok": not problems, "problems": problems}))
    else:
        for problem in loaded.problems:
            print(problem)
    if loaded.configuration is None:
        _say(f"{len(loaded.problems)} errors; correct them and check again")
        raise typer.Exit(Exit.INVALID)
    if not as_json:
        print("ok")


@app.command()
def trace(
    request: typing.Annotated[
        str, typer.Argument(help="The request's id, as its caller sent it.")
    ],
    logs: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help="Log files of all instances; - reads stdin."),
    ],
    as_json: AsJson = False,
) -> None:
    """Tell from logs what became of a request, and why."""
    files = [path for path in logs if str(path) != "-"]
    try:
        log = traces.read_log(
            itertools.chain(
                traces.open_files(files),
                [("stdin", sys.stdin)] if len(files) < len(logs) else [],
            )
        )
    except OSError as error:
        _say(f"{error.filename}: cannot be read: {error.strerror}")
        raise typer.Exit(Exit.INVALID) from error
    story = traces.tell(log, request)
    if log.unreadable:
        _say(f"{log.unreadable} lines could not be read and are left out")
    if story is None:
        _say(f"no line names {request}; give the logs of all instances")
        raise typer.Exit(Exit.NOT_FOUND)
    if as_json:
        print(json.dumps(_story_document(story)))
        return
    print(f"request {request}: {story.ending.value}")
    if story.reason:
        print(f"reason: {story.reason}")
    print("lines:")
    for line in story.lines:
        print(f"  {line.render()}")
    if story.context:
        print("decided or noticed about that time:")
        for line in story.context:
            print(f"  {line.render()}")


def _story_document(story: traces.Story) -> dict[str, typing.Any]:
    return {
        "request": story.request,
        "ending": story.ending.name.lower(),
        "reason": story.reason,
        "lines": [
            {"source": line.source, **line.fields} for line in story.lines
        ],
        "context": [
            {"source": line.source, **line.fields} for line in story.context
        ],
    }


@app.command()
def diff(
    folder: Folder,
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Show what an apply of a folder would change."""
    tree = _load(folder)
    client = _client(operators, operator_key)
    answer = client.call("POST", "/v1/config/diff", tree)
    _require(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    print(f"against version {answer.body['version']}:")
    for line in answer.body["differences"]:
        print(line)


@app.command()
def apply(
    folder: Folder,
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    based_on: typing.Annotated[
        int | None,
        typer.Option(help="Version that must be the present one."),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Apply a folder and wait until it is in force on every instance.

    Without --based-on the version is read first; an apply by another
    operator in between makes this one fail with exit code 4.
    """
    tree = _load(folder)
    client = _client(operators, operator_key)
    if based_on is None:
        present = client.call("GET", "/v1/config")
        _require(present)
        based_on = int(present.body["version"])
    body = {
        "configuration": tree,
        "based_on": based_on,
        "apply_id": f"apply-{secrets.token_hex(8)}",
    }
    answer = clients.Answer(0, {})
    for _ in range(APPLY_TRIES):
        answer = client.call("PUT", "/v1/config", body)
        if answer.status not in (0, 503):
            break
    _require(answer)
    _print_in_force(answer.body, "configuration", as_json)


@app.command()
def status(
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    why: typing.Annotated[
        str,
        typer.Option(help="Explain where this model is."),
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Show an instance's view of the fleet."""
    client = _client(operators, operator_key)
    if why:
        _print_why(operators, operator_key, why, as_json)
        return
    answer = client.call("GET", "/v1/status")
    _require(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    _print_status(answer.body)


@key_app.command("create")
def key_create(
    team: str,
    label: str = "",
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Create a key for a team and show it, this once."""
    client = _client(operators, operator_key)
    body = {"team": team, "label": label}
    answer = client.call("POST", "/v1/keys", body)
    _require(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    print(f"key id {answer.body['id']}, shown only now:")
    print(answer.body["key"])


@key_app.command("withdraw")
def key_withdraw(
    key_id: str,
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Withdraw a key by its id, on every instance, for good."""
    client = _client(operators, operator_key)
    answer = client.call("POST", f"/v1/keys/{key_id}/withdraw")
    _require(answer)
    if as_json:
        print(json.dumps(answer.body))
    else:
        _print_withdrawn(answer.body)
    if not answer.body["in_force"]:
        raise typer.Exit(Exit.NOT_YET_IN_FORCE)


@key_app.command("list")
def key_list(
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """List the keys by id; the keys themselves are kept nowhere."""
    client = _client(operators, operator_key)
    answer = client.call("GET", "/v1/keys")
    _require(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    for key in answer.body["keys"]:
        state = "withdrawn" if key["withdrawn"] else "valid"
        print(f"{key['id']}  {key['team']:<16} {state:<10} {key['label']}")


@drain_app.command("instance")
def drain_instance(
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Drain the instance at the first operator address, then stop it."""
    client = _client(operators.split(",")[0], operator_key)
    answer = client.call("POST", "/v1/drain")
    _require(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    print(f"{answer.body['instance']} is draining")


@drain_app.command("target")
def drain_target(
    target: str,
    undo: typing.Annotated[
        bool,
        typer.Option(help="Give the target work again."),
    ] = False,
    operators: Urls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Stop giving new work to a target."""
    client = _client(operators, operator_key)
    method = "DELETE" if undo else "POST"
    answer = client.call(method, f"/v1/targets/{target}/drain")
    _require(answer)
    _print_in_force(answer.body, f"drain of {target}", as_json)


def _client(operators: str, operator_key: str) -> clients.OperatorClient:
    if not operator_key:
        _say("no operator key; set --operator-key or CARDAMOM_OPERATOR_KEY")
        raise typer.Exit(Exit.USAGE)
    return clients.OperatorClient(operators.split(","), operator_key)


def _load(folder: pathlib.Path) -> dict[str, typing.Any]:
    loaded = folders.load_folder(folder)
    if loaded.configuration is None:
        for problem in loaded.problems:
            _say(str(problem))
        raise typer.Exit(Exit.INVALID)
    return loaded.configuration.model_dump(mode="json")


def _require(answer: clients.Answer) -> None:
    """Exit with the code that fits an answer, unless it is a success."""
    if answer.is_ok:
        return
    _say(answer.error or f"status {answer.status}")
    if answer.status == 0:
        raise typer.Exit(Exit.UNREACHED)
    if answer.status == 409:
        raise typer.Exit(Exit.CONFLICT)
    if answer.status == 422:
        raise typer.Exit(Exit.INVALID)
    raise typer.Exit(Exit.FAILED)


def _print_in_force(
    body: dict[str, typing.Any],
    what: str,
    as_json: bool,
) -> None:
    if as_json:
        print(json.dumps(body))
    else:
        behind = len(body["behind"])
        there = body["instances"] - behind
        print(
            f"{what} version {body['version']}: in force on {there} of "
            f"{body['instances']} instances after {body['waited_ms']} ms",
        )
    if not body["in_force"]:
        raise typer.Exit(Exit.NOT_YET_IN_FORCE)


def _print_withdrawn(body: dict[str, typing.Any]) -> None:
    state = "in force everywhere" if body["in_force"] else "not yet in force"
    kept = "kept in the table" if body["durable"] else "not yet in the table"
    print(
        f"{body['id']}: {state} after {body['waited_ms']} ms, known to "
        f"{len(body['acknowledged'])} instances, {kept}",
    )


def _print_status(body: dict[str, typing.Any]) -> None:
    print(
        f"instance {body['instance']} in {body['data_centre']}: "
        f"{'ready' if body['ready'] else 'not ready'}, "
        f"{'fresh' if body['fresh'] else 'not fresh'}, table "
        f"{'reached' if body['table_reached'] else 'not reached'}",
    )
    versions = ", ".join(f"{k} {v}" for k, v in body["versions"].items())
    print(f"versions: {versions}")
    print(f"roster: {', '.join(body['roster']['seats'])}")
    for target in body["targets"]:
        up = "up" if target["up"] else "down"
        work = "" if target["takes_work"] else ", draining"
        models = ", ".join(target["models"])
        print(f"target {target['id']}: {up}{work} {models}")
    violations = body["invariant_violations"]
    print(f"invariant violations: {violations or 'none'}")


def _print_why(
    operators: str,
    operator_key: str,
    model: str,
    as_json: bool,
) -> None:
    """Ask every instance, since only the order holder knows the moves."""
    answers = [
        _client(url, operator_key).call("GET", f"/v1/why/{model}")
        for url in operators.split(",")
    ]
    good = [answer.body for answer in answers if answer.is_ok]
    if not good:
        _require(answers[0])
    best = next((b for b in good if b["holds_orders"]), good[0])
    if as_json:
        print(json.dumps(best))
        return
    for engine, held in best["on"].items():
        print(f"{engine}: {', '.join(held)}")
    for move in best["moves"]:
        print(move)


def _say(message: str) -> None:
    print(f"cardamomctl: {message}", file=sys.stderr)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
