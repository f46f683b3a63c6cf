"""Serve reports to entries that collect them for an operator."""

import json

import grpc

from jayshunt.operations.reporter import EntryReporter
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc


class OperationsServicer(peer_pb2_grpc.OperationsServicer):
    """gRPC service that returns the reports of this entry."""

    def __init__(self, reporter: EntryReporter) -> None:
        """Initialize with the reporter of this entry."""
        self._reporter = reporter

    def add_to(self, server: grpc.Server) -> None:
        """Register the service with a gRPC server."""
        peer_pb2_grpc.add_OperationsServicer_to_server(self, server)

    def GetStatus(self, request: peer_pb2.ReportRequest, context):
        """Return the status of this entry."""
        return _report_reply(self._reporter.status())

    def GetDump(self, request: peer_pb2.ReportRequest, context):
        """Return the dump of this entry, without secrets."""
        return _report_reply(self._reporter.dump())


def _report_reply(content: dict) -> peer_pb2.ReportReply:
    return peer_pb2.ReportReply(content=json.dumps(content, default=str).encode())
