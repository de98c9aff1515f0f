"""Settings of the daemon."""

import unittest

from crocusward.errors import CrocusError, FindingsError
from crocusward.settings import parse_settings

GOOD = """\
[host]
name = "entry-1"
region = "pohja"
data_centre = "tallinn-a"
address = "127.0.0.1"
[callers]
port = 8080
[admin]
port = 8081
[[admin.tokens]]
name = "mari"
role = "operate"
sha256 = "{digest}"
[peer]
port = 8082
key_env = "CROCUSWARD_PEER_KEY"
[platform]
kind = "http"
table_url = "http://127.0.0.1:9001"
object_url = "http://127.0.0.1:9002"
host_list_url = "http://127.0.0.1:9003"
[fleet]
max_hosts = 14
[fleet.regions.pohja]
entries = ["https://pohja.example"]
data_centres = ["tallinn-a", "rakvere-b"]
[fleet.regions.louna]
entries = ["https://louna.example"]
data_centres = ["tartu-a", "voru-b"]
[routing]
policy = "least_wait"
link_share = 0.5
[logs]
level = "info"
""".format(digest="ab" * 32)


def findings_of(text):
    try:
        parse_settings(text, "s.toml")
    except FindingsError as exc:
        return exc.findings
    return []


class SettingsTest(unittest.TestCase):
    def test_five_faults_give_five_placed_findings(self):
        """Guards against a loader that stops at the first fault."""
        text = GOOD.replace('region = "pohja"', 'region = "pohj"')
        text = text.replace("port = 8080", 'port = "8080"')
        text = text.replace("max_hosts = 14", "max_hosts = 0")
        text = text.replace("link_share", "link_shaer")
        text = text.replace('level = "info"', 'level = "inof"')
        found = findings_of(text)
        seen = [(item.location.line, item.location.path, item.code) for item in found]
        self.assertEqual(
            seen,
            [
                (3, "host.region", "unknown_name"),
                (7, "callers.port", "type"),
                (23, "fleet.max_hosts", "range"),
                (32, "routing.link_shaer", "unknown_key"),
                (34, "logs.level", "value"),
            ],
        )
        self.assertIn("did you mean 'link_share'", str(found[3]))

    def test_good_file_has_no_findings(self):
        """Guards against a check that refuses correct settings."""
        settings = parse_settings(GOOD)
        self.assertEqual(settings.fleet.region_of("voru-b"), "louna")
        self.assertEqual(settings.admin.tokens[0].name, "mari")

    def test_a_finding_never_repeats_a_secret(self):
        """Guards against a token or key pasted in the wrong field and then logged."""
        text = GOOD.replace("ab" * 32, "plain-token-17")
        text = text.replace('"CROCUSWARD_PEER_KEY"', '"the shared key"')
        shown = "\n".join(str(item) for item in findings_of(text))
        self.assertEqual(len(findings_of(text)), 2)
        self.assertNotIn("plain-token-17", shown)
        self.assertNotIn("the shared key", shown)

    def test_short_or_absent_peer_key_is_refused(self):
        """Guards against links that authenticate with an empty key."""
        peer = parse_settings(GOOD).peer
        for environ in ({}, {"CROCUSWARD_PEER_KEY": "short"}):
            with self.assertRaises(CrocusError) as caught:
                peer.read_key(environ)
            self.assertEqual(caught.exception.code, "peer_key")
            self.assertNotIn("short", str(caught.exception).replace("shorter", ""))

    def test_syntax_error_has_its_line(self):
        """Guards against a traceback for text that is not TOML."""
        found = findings_of("[host]\nname = \n")
        self.assertEqual([(f.code, f.location.line) for f in found], [("syntax", 2)])
