"""Request identities."""

from __future__ import annotations

import testtools

from stileloom.quarantine.identity import identity_of

HOST = [("Host", "charts.example")]


class RequestIdentityTest(testtools.TestCase):
    """Retries have the same identity; other requests have another one."""

    def test_request_id_and_header_case_do_not_change_the_identity(self) -> None:
        first = identity_of("POST", "/a?b=1", [*HOST, ("Request-Id", "1")], b"x")
        again = identity_of(
            "post", "/a?b=1", [("Request-Id", "2"), ("host", "charts.example")], b"x"
        )
        self.assertEqual(first, again)

    def test_method_host_target_body_and_credentials_change_the_identity(self) -> None:
        identities = {
            identity_of("POST", "/a", HOST, b"x"),
            identity_of("GET", "/a", HOST, b"x"),
            identity_of("POST", "/a?", HOST, b"x"),
            identity_of("POST", "/a", [("Host", "other.example")], b"x"),
            identity_of("POST", "/a", HOST, b"y"),
            identity_of("POST", "/a", [*HOST, ("Authorization", "one")], b"x"),
            identity_of("POST", "/a", [*HOST, ("Authorization", "two")], b"x"),
        }
        self.assertEqual(7, len(identities))

    def test_parts_are_delimited(self) -> None:
        self.assertNotEqual(
            identity_of("POST", "/ab", [], b"c"), identity_of("POST", "/a", [], b"bc")
        )
