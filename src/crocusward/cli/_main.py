"""Entry point of the tool."""

import json
import os
import random
import sys
from collections.abc import Mapping, Sequence
from typing import Annotated, TextIO

from cyclopts import App, CycloptsError, Parameter

from .. import __version__
from ..errors import CrocusError, FindingsError
from ._contracts import add_contract_commands, add_customer_commands
from ._exit import ExitCode, ToolError, exit_code_of
from ._explain import add_explain_command
from ._fleet import add_hold_commands, add_report_commands, add_state_commands
from ._tool import Tool

HELP = """Control a crocusward fleet.

Exit codes: 0 done; 1 findings in a document; 2 usage; 3 conflict with another
change; 4 not allowed; 5 unavailable, nothing was changed; 6 effect unknown; 7 no such
name; 8 accepted but not in force everywhere in time; 9 internal error.
"""


def build_app(tool: Tool) -> App:
    """Return the commands, bound to one run."""
    app = App(
        name="crocusward",
        help=HELP,
        version=__version__,
        console=tool.console,
        error_console=tool.errors,
        result_action="return_value",
    )
    add_contract_commands(app, tool)
    add_customer_commands(app, tool)
    add_state_commands(app, tool)
    add_hold_commands(app, tool)
    add_report_commands(app, tool)
    add_explain_command(app, tool)

    @app.meta.default
    def launch(
        *tokens: Annotated[str, Parameter(show=False, allow_leading_hyphen=True)],
        server: str = "",
        token_file: str = "",
        json: Annotated[bool, Parameter(negative="")] = False,
    ) -> None:
        """Take the global options.

        Args:
            tokens: The command.
            server: Addresses of entry hosts, comma separated; CROCUSWARD_SERVER.
            token_file: File with the bearer token; or CROCUSWARD_TOKEN.
            json: Print JSON.
        """
        tool.configure(server, token_file, json)
        app(tokens, exit_on_error=False, print_error=False)

    return app


def run(argv: Sequence[str], tool: Tool) -> ExitCode:
    """Run one command and return the exit code; prints every error in words."""
    try:
        build_app(tool).meta(list(argv), exit_on_error=False, print_error=False)
    except CycloptsError as exc:
        tool.note(f"error: {exc}")
        return ExitCode.USAGE
    except CrocusError as exc:
        return _explain(exc, tool)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        return ExitCode.OK
    except Exception as exc:
        tool.note(f"internal error: {type(exc).__name__}: {exc}")
        return ExitCode.INTERNAL
    return ExitCode.OK


def _explain(exc: CrocusError, tool: Tool) -> ExitCode:
    code = exit_code_of(exc)
    findings = exc.findings if isinstance(exc, FindingsError | ToolError) else []
    advice = exc.advice if isinstance(exc, ToolError) else ""
    if tool.json:
        table = {
            "code": exc.code,
            "message": str(exc),
            "advice": advice,
            "findings": [str(item) for item in findings],
            "exit": int(code),
        }
        tool.note(json.dumps(table, ensure_ascii=False))
        return code
    for item in findings:
        tool.note(str(item))
    if findings:
        tool.note(f"{len(findings)} findings")
    else:
        tool.note(f"error: {exc} [{exc.code}]")
    if advice:
        tool.note(advice)
    return code


def main(
    argv: Sequence[str] | None = None,
    out: TextIO | None = None,
    err: TextIO | None = None,
    environ: Mapping[str, str] = os.environ,
) -> int:
    """Run the tool and return its exit code."""
    tool = Tool(out or sys.stdout, err or sys.stderr, environ, random.SystemRandom())
    return int(run(sys.argv[1:] if argv is None else argv, tool))
