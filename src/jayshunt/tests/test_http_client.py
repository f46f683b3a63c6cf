"""Test requests whose reused connection breaks."""

import contextlib
import socket
import struct
import threading
import unittest

from jayshunt import http_client
from jayshunt.errors import JayshuntError, Outcome

HOST = "127.0.0.1"


class BrokenConnectionTest(unittest.TestCase):
    """Test a reused connection that breaks after a request was sent."""

    def test_refused_reconnect_after_a_send_is_unknown(self) -> None:
        """curl resends a request by itself on a reused connection that broke.

        The first copy may have run, so the refused reconnect must not be reported
        as "not run".
        """
        listener = socket.create_server((HOST, 0))
        port = listener.getsockname()[1]
        reset = struct.pack("ii", 1, 0)

        def serve() -> None:
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            connection.recv(65536)
            listener.close()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://{HOST}:{port}/"
        http_client.request("POST", url, body=b"1", timeout_s=2.0, step="test")
        with self.assertRaises(JayshuntError) as caught:
            http_client.request("POST", url, body=b"2", timeout_s=2.0, step="test")
        thread.join()
        self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)

    def test_refusal_of_a_second_copy_is_not_taken_for_the_first(self) -> None:
        """A 503 for a copy that curl resent must not hide that the first copy ran.

        The store executed a write late and closed the connection, curl sent the
        write again, and the 503 for the copy told the caller that nothing had run
        (soak seed 3114).
        """
        listener = socket.create_server((HOST, 0))
        port = listener.getsockname()[1]
        copies: list[bytes] = []

        def serve() -> None:
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            copies.append(connection.recv(65536))
            connection.close()
            listener.settimeout(0.5)
            try:
                connection, _ = listener.accept()
            except TimeoutError:
                return
            copies.append(connection.recv(65536))
            connection.sendall(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n")
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://{HOST}:{port}/"
        http_client.request("POST", url, body=b"1", timeout_s=2.0, step="test")
        with self.assertRaises(JayshuntError) as caught:
            http_client.request("POST", url, body=b"2", timeout_s=2.0, step="test")
        thread.join()
        listener.close()
        self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
        self.assertIn(b"2", copies[0])


class HandlePoolTest(unittest.TestCase):
    """Guard against connections and bodies that idle threads keep."""

    def test_few_handles_are_kept(self) -> None:
        """After a crowd, each of its calls would leave three descriptors."""
        pool = http_client.HandlePool(2)
        with contextlib.ExitStack() as calls:
            handles = {calls.enter_context(pool.lend()) for _ in range(5)}
        self.assertEqual(5, len(handles))
        self.assertEqual(2, len(pool._idle))
        with pool.lend() as handle:
            self.assertIn(handle, handles)


if __name__ == "__main__":
    unittest.main()
