"""Test the HTTP client of the log service with valid and invalid responses."""

import threading
import unittest

from catkinknot.model import Address
from catkinknot.platformlog import HttpLogClient, NewEntry
from catkinknot.platformlog.exceptions import LogUnavailableError, OffsetExpiredError
from catkinknot_standins import LogStore, Reply, log_app, serve_json


def append(client: HttpLogClient) -> int:
    """Append one entry."""
    return client.append([NewEntry("w", 1, "data")])


def read(client: HttpLogClient) -> object:
    """Read one entry."""
    return client.read(0, limit=1, wait_s=0.0)


class TestHttpLogClient(unittest.TestCase):
    """Tests of the client over a real socket."""

    def serve(self, handle) -> HttpLogClient:
        """Serve a handler and return a client of the server."""
        server = serve_json("127.0.0.1", 0, handle)
        server.prepare()
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        return HttpLogClient((Address("127.0.0.1", server.bind_addr[1]),))

    def test_round_trip(self):
        """Appended entries can be read, and an offset past retention is reported."""
        client = self.serve(log_app(LogStore(retention_records=2)))
        for seq in range(3):
            self.assertEqual(client.append([NewEntry("w", seq, "data")]), seq)
        with self.assertRaises(OffsetExpiredError) as caught:
            client.read(0, limit=10, wait_s=0.0)
        self.assertEqual(caught.exception.first_offset, 1)
        page = client.read(1, limit=10, wait_s=0.0)
        self.assertEqual([entry.seq for entry in page.entries], [1, 2])

    def test_invalid_responses(self):
        """An invalid response must be reported as an outage with unknown effect."""
        for reply in (
            Reply(200, b"no json"),
            Reply(200, b"[]"),
            Reply(200, b"{}"),
            Reply(200, b'{"first_offset": "x", "records": [{}], "next_offset": 1}'),
            Reply(503, b"{}"),
        ):
            with self.subTest(reply.body):
                client = self.serve(lambda req, reply=reply: reply)
                for call in (append, read):
                    with self.assertRaises(LogUnavailableError) as caught:
                        call(client)
                    self.assertTrue(caught.exception.sent)

    def test_refused_connection(self):
        """A request whose connection was refused is known to have had no effect."""
        client = HttpLogClient((Address("127.0.0.1", 1),))
        with self.assertRaises(LogUnavailableError) as caught:
            client.append([NewEntry("w", 1, "data")])
        self.assertFalse(caught.exception.sent)
