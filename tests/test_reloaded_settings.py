"""Settings that change while the daemon runs."""

import copy
import io
import unittest
from unittest import mock

from crocusward.devtools.entry_soak import WholeFleet
from crocusward.devtools.entry_soak._whole_hosts import STORE_IP
from crocusward.logs import start_logs

NEW_PORT = 39_999
APPLY_S = 2.0


class ReloadCase(unittest.TestCase):
    def setUp(self):
        self.fleet = WholeFleet(3, 2)
        self.addCleanup(self.fleet.close)

    def reload(self, host, cause="signal", **changes):
        """Let a host read settings in which some facts are others."""
        facts = copy.copy(host.facts)
        for name, value in changes.items():
            setattr(facts, name, value)
        with mock.patch(
            "crocusward.entryd._process.read_boot_settings", lambda path: facts
        ):
            host._apply_settings(cause)


class StoreAddressTest(ReloadCase):
    def test_store_at_another_address_is_followed(self):
        """Guards against a daemon that goes on with the address of its start."""
        network = self.fleet.network
        old, new = (STORE_IP, self.fleet.store.port), (STORE_IP, NEW_PORT)
        for cause in ("signal", "change"):
            with self.subTest(cause=cause):
                network.listeners[new] = network.listeners[old]
                for host in self.fleet.hosts.values():
                    self.reload(host, cause, store=new)
                network.advance(APPLY_S)  # both addresses serve
                del network.listeners[old]
                for end in [c for c in network.connections if c._local == old]:
                    end.abort()
                network.advance(1.0)
                version = self.fleet.write_state()
                network.advance(APPLY_S)
                self.assertEqual(self.fleet.late_hosts(version), [])
                old, new = new, old

    def test_fields_that_need_a_restart_are_named(self):
        """Guards against settings that are taken for applied."""
        stream = io.StringIO()
        pipe = start_logs(stream)
        host = next(iter(self.fleet.hosts.values()))
        for _ in range(2):
            self.reload(host, callers=("10.0.0.9", 1))
        pipe.buffer.flush()
        pipe.close()
        lines = [x for x in stream.getvalue().splitlines() if "reloaded" in x]
        self.assertEqual(len(lines), 2)
        for line in lines:
            self.assertIn("needs_restart=callers", line)


if __name__ == "__main__":
    unittest.main()
