"""Stop listening without resetting established connections."""

import ctypes
import logging
import socket
import struct

_LOGGER = logging.getLogger(__name__)

# From the kernel's headers asm-generic/socket.h and linux/bpf_common.h.
SO_ATTACH_FILTER = 26
BPF_RETURN = 0x06


def drop_new_connections(listener: socket.socket) -> None:
    """Make the kernel drop packets of new connections; established ones stay.

    A connection established between the last accept and the close of the port
    would be reset, with its caller's request in transit. With this filter no
    connection is established any more: the caller's kernel retries after a second
    and finds the port closed, so that the caller fails over with nothing sent.
    """
    program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
    option = struct.pack("HP", 1, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
    except OSError as error:
        _LOGGER.warning("serving: closing the port without a packet filter: %s", error)
