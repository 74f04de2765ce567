"""The commands of cardamomctl."""

import enum
import itertools
import json
import pathlib
import secrets
import sys
import typing

import typer

from cardamom_config import diffs
from cardamom_config import effects
from cardamom_config import findings
from cardamom_config import folders
from cardamom_ctl import client as clients
from cardamom_ctl import evacuations as evacuations_module
from cardamom_ctl import traces

APPLY_ATTEMPTS = 3


class Exit(enum.IntEnum):
    """The exit codes of cardamomctl."""

    DONE = 0
    FAILED = 1
    DIFFERENT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHED = 5
    NOT_YET_IN_FORCE = 6
    NOT_FOUND = 7


EXIT_CODES_HELP = """
Exit codes: 0 done; 1 the instance refused, or check --against found
differences; 2 wrong usage; 3 the folder has errors or a log file cannot be
read; 4 another operator changed the configuration first; 5 no instance
answered; 6 accepted, but not yet in force everywhere; 7 no log line has the
request's id.
"""

app = typer.Typer(
    help=f"Operate a cardamomway fleet.\n{EXIT_CODES_HELP}",
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
OperatorUrls = typing.Annotated[
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
def check(
    folder: Folder,
    against: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder in force; show what differs from it."),
    ] = None,
    keys: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            help="Output of key list --json; check the teams' keys too."
        ),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Check a folder and print every error and warning with file and line.

    With --against, also print each field that differs and the effects on
    callers; the exit code is then 1 if anything differs.
    """
    key_list = folders.load_keys(keys) if keys else folders.KeyList(None)
    loaded = folders.load_folder(folder, key_list.keys)
    problems = (*key_list.problems, *loaded.problems)
    base = folders.load_folder(against) if against else None
    base_problems = base.problems if base else ()
    document: dict[str, typing.Any] = {
        "ok": not problems and not base_problems,
        "problems": [problem.to_json() for problem in problems],
        "warnings": [warning.to_json() for warning in loaded.warnings],
    }
    differences: list[diffs.Difference] = []
    found_effects: list[effects.Effect] = []
    if base and base.configuration and loaded.configuration:
        differences = list(
            diffs.diff(
                base.configuration.model_dump(mode="json"),
                loaded.configuration.model_dump(mode="json"),
            )
        )
        found_effects = list(
            effects.find_effects(
                base.configuration, loaded.configuration, key_list.keys
            )
        )
    if base:
        document |= {
            "against_problems": [item.to_json() for item in base_problems],
            "differences": [item.to_json() for item in differences],
            "effects": [effect.to_json() for effect in found_effects],
        }
    if as_json:
        print(json.dumps(document))
    else:
        _print_findings((*problems, *loaded.warnings))
        _print_findings(base_problems, prefix=f"{against}: ")
        _print_section("differences", differences)
        _print_section("effects on callers", found_effects)
    error_count = len(problems) + len(base_problems)
    if error_count:
        _print_error(f"{error_count} errors; correct them and check again")
        raise typer.Exit(Exit.INVALID)
    if not as_json:
        print("ok")
    if differences:
        raise typer.Exit(Exit.DIFFERENT)


def _print_findings(
    found: typing.Iterable[findings.Finding], prefix: str = ""
) -> None:
    for finding in found:
        print(f"{prefix}{finding.render()}")


def _print_section(heading: str, lines: typing.Sequence[object]) -> None:
    if lines:
        print(f"{heading}:")
        for line in lines:
            print(f"  {line}")


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
    """Show from logs how a request ended, and why."""
    files = [path for path in logs if str(path) != "-"]
    try:
        log = traces.read_log(
            itertools.chain(
                traces.open_files(files),
                [("stdin", sys.stdin)] if len(files) < len(logs) else [],
            )
        )
    except OSError as error:
        _print_error(f"{error.filename}: cannot be read: {error.strerror}")
        raise typer.Exit(Exit.INVALID) from error
    request_trace = traces.trace_request(log, request)
    if log.unreadable_count:
        _print_error(
            f"{log.unreadable_count} lines could not be parsed; ignoring them"
        )
    if request_trace is None:
        _print_error(
            f"no line has request id {request}; give the logs of all instances"
        )
        raise typer.Exit(Exit.NOT_FOUND)
    if as_json:
        print(json.dumps(_trace_document(request_trace)))
        return
    print(f"request {request}: {request_trace.ending.value}")
    if request_trace.reason:
        print(f"reason: {request_trace.reason}")
    print("lines:")
    for line in request_trace.lines:
        print(f"  {line.render()}")
    if request_trace.context:
        print("related decisions and events:")
        for line in request_trace.context:
            print(f"  {line.render()}")


def _trace_document(
    request_trace: traces.RequestTrace,
) -> dict[str, typing.Any]:
    return {
        "request": request_trace.request,
        "ending": request_trace.ending.name.lower(),
        "reason": request_trace.reason,
        "lines": [
            {"source": line.source, **line.fields}
            for line in request_trace.lines
        ],
        "context": [
            {"source": line.source, **line.fields}
            for line in request_trace.context
        ],
    }


@app.command()
def diff(
    folder: Folder,
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Show what an apply of a folder would change."""
    tree = _load_or_exit(folder)
    client = _client(operators, operator_key)
    answer = client.call("POST", "/v1/config/diff", tree)
    _require_success(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    print(f"against version {answer.body['version']}:")
    for line in answer.body["differences"]:
        print(line)


@app.command()
def apply(
    folder: Folder,
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    based_on: typing.Annotated[
        int | None,
        typer.Option(help="Version that must be the current one."),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Apply a folder and wait until it is in force on every instance.

    Without --based-on the current version is read first; if another
    operator applies a folder in between, this fails with exit code 4.
    """
    tree = _load_or_exit(folder)
    client = _client(operators, operator_key)
    if based_on is None:
        current = client.call("GET", "/v1/config")
        _require_success(current)
        based_on = int(current.body["version"])
    body = {
        "configuration": tree,
        "based_on": based_on,
        "apply_id": f"apply-{secrets.token_hex(8)}",
    }
    answer = clients.Answer(0, {})
    for _ in range(APPLY_ATTEMPTS):
        answer = client.call("PUT", "/v1/config", body)
        if answer.status not in (0, 503):
            break
    _require_success(answer)
    for warning in answer.body.get("warnings", ()):
        _print_error(f"warning: {warning['field']}: {warning['message']}")
    _print_in_force(answer.body, "configuration", as_json)


@app.command()
def status(
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    why: typing.Annotated[
        str,
        typer.Option(help="Show which engines hold this model and why."),
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Show an instance's view of the fleet."""
    client = _client(operators, operator_key)
    if why:
        _print_why(operators, operator_key, why, as_json)
        return
    answer = client.call("GET", "/v1/status")
    _require_success(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    _print_status(answer.body)


@app.command()
def evacuations(
    instances: typing.Annotated[
        list[str],
        typer.Argument(help="Metrics addresses of gateways, as HOST:PORT."),
    ],
    as_json: AsJson = False,
) -> None:
    """Show which evacuations each gateway instance has in force.

    Exits with 6 if the instances differ or one does not answer, and with 5
    if none answers.
    """
    views = evacuations_module.read(instances)
    known = {
        view.data_centres for view in views if view.data_centres is not None
    }
    if as_json:
        print(json.dumps([_evacuations_document(view) for view in views]))
    else:
        for view in views:
            if view.data_centres is None:
                print(f"{view.address}: no answer ({view.error})")
            else:
                names = ", ".join(sorted(view.data_centres))
                print(f"{view.address}: {names or 'none'}")
    if not known:
        _print_error("no instance answered")
        raise typer.Exit(Exit.UNREACHED)
    if len(known) > 1:
        _print_error("the instances differ")
    if len(known) > 1 or any(view.data_centres is None for view in views):
        raise typer.Exit(Exit.NOT_YET_IN_FORCE)


def _evacuations_document(
    view: evacuations_module.View,
) -> dict[str, typing.Any]:
    return {
        "instance": view.address,
        "evacuated": None
        if view.data_centres is None
        else sorted(view.data_centres),
        "error": view.error,
    }


@key_app.command("create")
def key_create(
    team: str,
    label: str = "",
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Create a key for a team; it is shown only once."""
    client = _client(operators, operator_key)
    body = {"team": team, "label": label}
    answer = client.call("POST", "/v1/keys", body)
    _require_success(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    print(f"key id {answer.body['id']}, shown only now:")
    print(answer.body["key"])


@key_app.command("withdraw")
def key_withdraw(
    key_id: str,
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Withdraw a key permanently by its id, on every instance."""
    client = _client(operators, operator_key)
    answer = client.call("POST", f"/v1/keys/{key_id}/withdraw")
    _require_success(answer)
    if as_json:
        print(json.dumps(answer.body))
    else:
        _print_withdrawal(answer.body)
    if not answer.body["in_force"]:
        raise typer.Exit(Exit.NOT_YET_IN_FORCE)


@key_app.command("list")
def key_list(
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """List the ids of the keys; the keys themselves are not stored."""
    client = _client(operators, operator_key)
    answer = client.call("GET", "/v1/keys")
    _require_success(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    for key in answer.body["keys"]:
        state = "withdrawn" if key["withdrawn"] else "valid"
        print(f"{key['id']}  {key['team']:<16} {state:<10} {key['label']}")


@drain_app.command("instance")
def drain_instance(
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Drain the instance at the first operator address; it then stops."""
    client = _client(operators.split(",")[0], operator_key)
    answer = client.call("POST", "/v1/drain")
    _require_success(answer)
    if as_json:
        print(json.dumps(answer.body))
        return
    print(f"{answer.body['instance']} is draining")


@drain_app.command("target")
def drain_target(
    target: str,
    undo: typing.Annotated[
        bool,
        typer.Option(help="Send new requests to the target again."),
    ] = False,
    operators: OperatorUrls = DEFAULT_URL,
    operator_key: OperatorKey = "",
    as_json: AsJson = False,
) -> None:
    """Stop sending new requests to a target."""
    client = _client(operators, operator_key)
    method = "DELETE" if undo else "POST"
    answer = client.call(method, f"/v1/targets/{target}/drain")
    _require_success(answer)
    _print_in_force(answer.body, f"drain of {target}", as_json)


def _client(operators: str, operator_key: str) -> clients.OperatorClient:
    if not operator_key:
        _print_error(
            "no operator key; set --operator-key or CARDAMOM_OPERATOR_KEY"
        )
        raise typer.Exit(Exit.USAGE)
    return clients.OperatorClient(operators.split(","), operator_key)


def _load_or_exit(folder: pathlib.Path) -> dict[str, typing.Any]:
    loaded = folders.load_folder(folder)
    if loaded.configuration is None:
        for problem in loaded.problems:
            _print_error(problem.render())
        raise typer.Exit(Exit.INVALID)
    return loaded.configuration.model_dump(mode="json")


def _require_success(answer: clients.Answer) -> None:
    """Exit with the code for an answer's status unless the call succeeded."""
    if answer.is_ok:
        return
    _print_error(answer.error or f"status {answer.status}")
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
        updated = body["instances"] - behind
        print(
            f"{what} version {body['version']}: in force on {updated} of "
            f"{body['instances']} instances after {body['waited_ms']} ms",
        )
    if not body["in_force"]:
        raise typer.Exit(Exit.NOT_YET_IN_FORCE)


def _print_withdrawal(body: dict[str, typing.Any]) -> None:
    state = "in force everywhere" if body["in_force"] else "not yet in force"
    stored = (
        "stored in the table" if body["durable"] else "not yet in the table"
    )
    print(
        f"{body['id']}: {state} after {body['waited_ms']} ms, acknowledged "
        f"by {len(body['acknowledged'])} instances, {stored}",
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
        state = "up" if target["up"] else "down"
        draining = "" if target["takes_work"] else ", draining"
        models = ", ".join(target["models"])
        print(f"target {target['id']}: {state}{draining} {models}")
    violations = body["invariant_violations"]
    print(f"invariant violations: {violations or 'none'}")


def _print_why(
    operators: str,
    operator_key: str,
    model: str,
    as_json: bool,
) -> None:
    """Ask all instances; only the order lease's holder knows the moves."""
    answers = [
        _client(url, operator_key).call("GET", f"/v1/why/{model}")
        for url in operators.split(",")
    ]
    bodies = [answer.body for answer in answers if answer.is_ok]
    if not bodies:
        _require_success(answers[0])
    best = next((body for body in bodies if body["holds_orders"]), bodies[0])
    if as_json:
        print(json.dumps(best))
        return
    for engine, residents in best["on"].items():
        print(f"{engine}: {', '.join(residents)}")
    for move in best["moves"]:
        print(move)


def _print_error(message: str) -> None:
    print(f"cardamomctl: {message}", file=sys.stderr)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
