"""Stop listening without a reset of connections that were already made."""

import ctypes
import logging
import socket
import struct

_LOGGER = logging.getLogger(__name__)

# From the kernel's headers asm-generic/socket.h and linux/bpf_common.h.
SO_ATTACH_FILTER = 26
BPF_RETURN = 0x06


def drop_new_connections(listener: socket.socket) -> None:
    """Let the kernel drop packets of new connections; those made stay queued.

    Between the last accept and the close of the port, a connection may be made
    and would be reset, with its caller's request on the way. With this filter no
    connection is made any more: its caller's system tries again after a second
    and finds the port closed, so that the caller goes elsewhere with nothing sent.
    """
    program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
    option = struct.pack("HP", 1, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
    except OSError as error:
        _LOGGER.warning("serving: the port closes without a filter: %s", error)
