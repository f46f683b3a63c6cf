"""Test the strict parser of request heads."""

import unittest

from jayshunt.errors import JayshuntError, Outcome
from jayshunt.serving.head import parse_head

INVALID = {
    "both framings": (
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked",
        "bad_request",
    ),
    "repeated length": (
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3",
        "bad_request",
    ),
    "list of lengths": (
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3",
        "bad_request",
    ),
    "signed length": (
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3",
        "bad_request",
    ),
    "hexadecimal length": (
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0x3",
        "bad_request",
    ),
    "other digits": (
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: \xb2",
        "bad_request",
    ),
    "empty length": ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length:", "bad_request"),
    "two codings": (
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked",
        "coding_not_supported",
    ),
    "hidden coding": (
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: \x0bchunked",
        "bad_request",
    ),
    "repeated coding": (
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "Transfer-Encoding: identity",
        "coding_not_supported",
    ),
    "coding in 1.0": (
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked",
        "coding_not_supported",
    ),
    "space before colon": (
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3",
        "bad_request",
    ),
    "line folding": ("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c", "bad_request"),
    "bare LF": ("GET / HTTP/1.1\r\nHost: x\r\nA: b\nC: d", "bad_request"),
    "bare CR": ("GET / HTTP/1.1\r\nHost: x\r\nA: b\rC: d", "bad_request"),
    "zero byte": ("GET / HTTP/1.1\r\nHost: x\r\nA: b\0", "bad_request"),
    "no colon": ("GET / HTTP/1.1\r\nHost: x\r\nsomething", "bad_request"),
    "empty name": ("GET / HTTP/1.1\r\nHost: x\r\n: value", "bad_request"),
    "no host": ("GET / HTTP/1.1", "bad_request"),
    "two hosts": ("GET / HTTP/1.1\r\nHost: x\r\nHost: y", "bad_request"),
    "tab in request line": ("GET\t/ HTTP/1.1\r\nHost: x", "bad_request"),
    "space in target": ("GET /a b HTTP/1.1\r\nHost: x", "bad_request"),
    "non-ASCII target": ("GET /\xe9 HTTP/1.1\r\nHost: x", "bad_request"),
    "fragment": ("GET /a#b HTTP/1.1\r\nHost: x", "bad_request"),
    "relative target": ("GET a HTTP/1.1\r\nHost: x", "bad_request"),
    "credentials in target": ("GET http://u@h/ HTTP/1.1\r\nHost: x", "bad_request"),
    "HTTP/0.9": ("GET /", "bad_request"),
    "HTTP/2": ("GET / HTTP/2.0\r\nHost: x", "version_not_supported"),
    "tunnel": ("CONNECT / HTTP/1.1\r\nHost: x", "method_not_allowed"),
    "many fields": (
        "GET / HTTP/1.1\r\nHost: x" + "\r\nA: b" * 100,
        "head_too_large",
    ),
    "other expectation": (
        "POST / HTTP/1.1\r\nHost: x\r\nExpect: tea",
        "expectation_failed",
    ),
}


class ParseHeadTest(unittest.TestCase):
    """Guard against heads that two HTTP servers may interpret differently."""

    def test_refuses_ambiguous_heads(self):
        """An accepted ambiguous head lets a caller smuggle a second request."""
        for name, (text, code) in INVALID.items():
            with self.subTest(name):
                with self.assertRaises(JayshuntError) as caught:
                    parse_head(text.encode("latin-1"))
                self.assertEqual(caught.exception.code, code)
                self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    def test_keeps_target_as_sent(self):
        """A decoded target would name another resource at the upstream."""
        head = parse_head(b"GET /a%2Fb//../c%20d?e=%26 HTTP/1.1\r\nHost: x")
        self.assertEqual(head.target, "/a%2Fb//../c%20d?e=%26")

    def test_takes_path_of_absolute_target(self):
        """RFC 9112 requires a server to accept the absolute form."""
        head = parse_head(b"GET http://desk:80?a=1 HTTP/1.1\r\nHost: desk")
        self.assertEqual(head.target, "/?a=1")

    def test_keeps_repeated_fields(self):
        """Joining repeated fields with commas would corrupt cookies, which use them."""
        head = parse_head(b"GET / HTTP/1.1\r\nHost: x\r\nA: 1,2\r\na:  3 ")
        self.assertEqual(head.values("a"), ["1,2", "3"])

    def test_reads_connection_options(self):
        """A misread option would keep a connection open that its caller closes."""
        cases = {
            b"GET / HTTP/1.1\r\nHost: x": True,
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Close": False,
            b"GET / HTTP/1.0": False,
            b"GET / HTTP/1.0\r\nConnection: a, keep-alive": True,
        }
        for text, keep_alive in cases.items():
            with self.subTest(text):
                self.assertIs(parse_head(text).keep_alive, keep_alive)
