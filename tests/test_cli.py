"""Command-line tool, against the administration API on loopback."""

import asyncio
import io
import json
import random
import socket
import tempfile
import threading
import unittest
from pathlib import Path

import uvicorn

from crocusward.cli import Tool, run
from crocusward.errors import (
    CrocusError,
    StoreUnavailableError,
    StoreUncertainError,
)
from crocusward.server import create_admin_app
from tests.fake_config import TOKENS, FakeConfig, fake_service

DOCUMENT = """\
[[contracts]]
name = "albums"
customer = "guild"
services = ["tellimused"]
[contracts.limits]
rate = 50
"""


class Server:
    """The administration API on a loopback port, in a thread."""

    def __init__(self, config):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        options = uvicorn.Config(
            create_admin_app(fake_service(config)),
            log_config=None,
            loop="asyncio",
            lifespan="on",
        )
        self.server = uvicorn.Server(options)
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        asyncio.run(self.server.serve(sockets=[self.listener]))

    def close(self):
        self.server.should_exit = True
        self.thread.join(10)


class LosingServer:
    """Accepts requests, reads them and closes without an answer."""

    def __init__(self):
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.recv(65536)
            self.requests += 1
            conn.close()


class CliTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.config = FakeConfig()
        cls.server = Server(cls.config)
        cls.addClassCleanup(cls.server.close)
        cls.losing = LosingServer()
        cls.addClassCleanup(cls.losing.listener.close)
        with socket.create_server(("127.0.0.1", 0)) as sock:
            cls.closed_url = f"http://127.0.0.1:{sock.getsockname()[1]}"

    def setUp(self):
        self.config.__init__()
        self.losing.requests = 0
        self.rng = random.Random(3)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_tool(self, *argv, server=None, user="mari", sleep=None):
        out, err = io.StringIO(), io.StringIO()
        environ = {
            "CROCUSWARD_SERVER": server or self.server.url,
            "CROCUSWARD_TOKEN": TOKENS.get(user, user),
        }
        tool = Tool(out, err, environ, self.rng, sleep or (lambda _: None))
        code = int(run(argv, tool))
        self.assertNotIn("Traceback", out.getvalue() + err.getvalue())
        return code, out.getvalue(), err.getvalue()

    def write(self, text, name="c.toml"):
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_exit_codes_by_kind_of_failure(self):
        """Guards against scripts that cannot tell one failure from another."""
        out = ("data-centre", "out", "tallinn-a")
        self.assertEqual(self.run_tool(*out)[0], 0)
        self.assertEqual(self.run_tool("data-centre", "back", "tallin-a")[0], 1)
        self.assertEqual(self.run_tool("data-centre", "ot", "tallinn-a")[0], 2)
        self.assertEqual(self.run_tool(*out, "--base", "0")[0], 3)
        self.assertEqual(self.run_tool(*out, user="arne")[0], 4)
        self.assertEqual(self.run_tool(*out, user="nobody")[0], 4)
        self.assertEqual(self.run_tool(*out, server=self.closed_url)[0], 5)
        self.config.failure = StoreUnavailableError("down")
        self.assertEqual(self.run_tool(*out)[0], 5)
        self.config.failure = CrocusError("louna", code="region_unreachable")
        self.assertEqual(self.run_tool(*out)[0], 5)
        self.config.failure = StoreUncertainError("no answer")
        self.assertEqual(self.run_tool(*out)[0], 6)
        self.config.failure = None
        self.assertEqual(self.run_tool("contract", "show", "nothing")[0], 7)
        self.config.missing = ("entry-2",)
        code, _, err = self.run_tool(*out)
        self.assertEqual(code, 8)
        self.assertIn("missing: entry-2", err)

    def test_wrong_names_suggest_the_near_one(self):
        """Guards against an error that leaves the operator guessing."""
        for argv, hint in (
            (("contrat", "list"), "contract"),
            (("contract", "aply", "x"), "apply"),
            (("status", "--wach"), "--watch"),
            (("data-centre", "out", "tartua"), "tartu-a"),
            (("hold", "place", "data-centre", "tartua"), "tartu-a"),
        ):
            code, _, err = self.run_tool(*argv)
            self.assertIn(code, (1, 2))
            self.assertIn(hint, err)

    def test_findings_of_the_server_have_their_line_in_the_file(self):
        """Guards against findings about a request that the operator never saw."""
        path = self.write(DOCUMENT.replace("guild", "gild").replace("50", "100000"))
        for command in ("apply", "dry-run"):
            code, _, err = self.run_tool("contract", command, path)
            self.assertEqual(code, 1)
            self.assertIn(f"{path}:3: contracts[0].customer", err)
            self.assertIn(f"{path}:6: contracts[0].limits.rate", err)
        self.assertEqual(self.config.log, [])

    def test_apply_show_apply_changes_nothing(self):
        """Guards against a shown contract that differs from the applied one."""
        code, out, _ = self.run_tool("contract", "apply", self.write(DOCUMENT))
        self.assertEqual(code, 0)
        self.assertIn("+ contracts.albums.limits.rate = 50.0", out)
        _, text, _ = self.run_tool("contract", "show", "albums")
        _, out, _ = self.run_tool("contract", "apply", self.write(text))
        self.assertIn("nothing to do", out)
        self.assertEqual(len(self.config.log), 1)

    def test_apply_keeps_a_data_centre_out(self):
        """Guards against a topology file that ends a maintenance."""
        self.run_tool("data-centre", "out", "tallinn-a")
        text = '[[data_centres]]\nname = "tallinn-a"\nregion = "pohja"\n'
        self.assertEqual(self.run_tool("contract", "apply", self.write(text))[0], 0)
        self.assertTrue(self.config.cfg.is_data_centre_out("tallinn-a"))

    def test_state_change_is_repeated_after_a_conflict_and_a_contract_is_not(self):
        """Guards against a blocked drain, and against a contract lost unseen."""
        self.config.rivals = 2
        self.assertEqual(self.run_tool("data-centre", "out", "tallinn-a")[0], 0)
        self.assertTrue(self.config.cfg.is_data_centre_out("tallinn-a"))
        self.assertEqual(len(self.config.log), 3)
        self.config.rivals = 1
        path = self.write(DOCUMENT)
        self.assertEqual(self.run_tool("contract", "apply", path)[0], 3)
        self.assertEqual(dict(self.config.cfg.contracts), {})

    def test_next_server_only_when_certainly_not_sent_or_read_only(self):
        """Guards against a change sent twice because an answer was lost."""
        both = f"{self.losing.url},{self.server.url}"
        self.assertEqual(self.run_tool("customer", "list", server=both)[0], 0)
        hold = ("hold", "place", "data-centre", "tallinn-a")
        code, _, err = self.run_tool(*hold, server=both)
        self.assertEqual(code, 6)
        self.assertIn("effect is unknown", err)
        self.assertEqual(self.config.placed, [])
        self.assertEqual(self.losing.requests, 2)
        both = f"{self.closed_url},{self.server.url}"
        self.assertEqual(self.run_tool(*hold, server=both)[0], 0)
        self.assertEqual(len(self.config.placed), 1)

    def test_unknown_effect_names_the_id_that_repeats_safely(self):
        """Guards against an operator who repeats a change under a new id."""
        self.config.failure = StoreUncertainError("no answer")
        self.config.effect_before_failure = True
        out = ("data-centre", "out", "tallinn-a")
        code, _, err = self.run_tool(*out)
        self.assertEqual(code, 6)
        self.config.failure = None
        options = err.rsplit("with ", 1)[1].split(",")[0].split()
        code, text, _ = self.run_tool(*out, *options)
        self.assertEqual(code, 0)
        self.assertIn("was accepted before", text)
        self.assertEqual(len(self.config.log), 1)

    def test_json_output_is_one_document(self):
        """Guards against prose mixed into output that scripts read."""
        for argv in (
            ("status",),
            ("burn",),
            ("customer", "list"),
            ("hold", "list"),
            ("data-centre", "out", "tallinn-a"),
            ("change", "1"),
        ):
            code, out, _ = self.run_tool(*argv, "--json")
            self.assertEqual(code, 0, argv)
            json.loads(out)

    def test_burn_names_missing_hosts_and_writes_a_page(self):
        """Guards against a report that looks complete."""
        path = str(self.folder / "burn.html")
        code, _, err = self.run_tool("burn", "--html", path)
        self.assertEqual(code, 0)
        self.assertIn("entry-9", err)
        self.assertIn("entry-9", Path(path).read_text(encoding="utf-8"))
        bad = str(self.folder / "no" / "x.html")
        self.assertEqual(self.run_tool("burn", "--html", bad)[0], 2)

    def test_config_check_needs_no_daemon(self):
        """Guards against a check that contacts a host or misses a fault."""
        good = self.write(DOCUMENT)
        options = {"server": self.closed_url}
        self.assertEqual(self.run_tool("config", "check", good, **options)[0], 0)
        bad = self.write('[host]\nname = "A B"\n', "s.toml")
        code, _, err = self.run_tool("config", "check", bad, **options)
        self.assertEqual(code, 1)
        self.assertIn(f"{bad}:2: host.name", err)
        self.assertEqual(self.run_tool("config", "check", "/no/file")[0], 1)

    def test_completion_lists_the_commands(self):
        """Guards against a completion script that lags behind."""
        for shell in ("bash", "zsh", "fish"):
            code, out, _ = self.run_tool("completion", shell)
            self.assertEqual(code, 0)
            self.assertIn("data-centre", out)

    def test_odd_answers_are_no_traceback(self):
        """Guards against a tool that fails on an answer of another program."""
        for url in ("http://[", "http://127.0.0.1:99999", "ftp://x", ""):
            code, _, _ = self.run_tool("--server", url or ",", "status")
            self.assertEqual(code, 5, url)
