"""TCP connections as streams, and what their buffers and the kernel hold."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Any
from typing import Final

from tornado.iostream import IOStream

# The shortest period that the kernel allows.
KEEPALIVE_PERIOD_SECONDS: Final = 1
_MS_PER_SECOND: Final = 1000
# Unanswered probes of a receiver that takes nothing after which it is taken for gone.
MAX_UNANSWERED_PROBES: Final = 4
# In the kernel's `tcp_info`: the probes without an answer, and the segments that are on their way.
_TCP_PROBES: Final = struct.Struct("3xB")
_TCP_UNACKED: Final = struct.Struct("24xI")
_INT: Final = struct.Struct("i")
# On, and no time to linger.
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
_END_ON_CLOSE: Final = struct.pack("ii", 0, 0)


class NoDelayStream(IOStream):
    """A connection with ``TCP_NODELAY`` always on, so that each write is sent at once."""

    def __init__(self, connection: socket.socket, **options: Any) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(connection, **options)

    def set_nodelay(self, value: bool) -> None:
        """Ignore the call: Nagle's algorithm would delay tokens until an ACK arrives."""


def unconsumed_bytes(stream: IOStream) -> int:
    """Return how many bytes have been read from the socket that no read has consumed yet."""
    return int(stream._read_buffer_size)


def unwritten_bytes(stream: IOStream) -> int:
    """Return how many written bytes an open connection's stream hasn't handed to the kernel."""
    return len(stream._write_buffer)


def outgoing_bytes(stream: IOStream) -> int:
    """Return how many bytes the kernel holds that the other side hasn't acknowledged."""
    return unacknowledged_bytes(stream.socket)


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return how many sent bytes the other side of a connection hasn't acknowledged."""
    count = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(_INT.size))
    return int(_INT.unpack(count)[0])


def is_acknowledged(stream: IOStream) -> bool:
    """Whether the other side has received all bytes that were written to an open connection."""
    return not stream.writing() and outgoing_bytes(stream) == 0


def is_reusable(stream: IOStream) -> bool:
    """Whether an idle connection is still open and has received no unexpected bytes."""
    return not unconsumed_bytes(stream) and is_drained(stream)


def is_drained(stream: IOStream) -> bool:
    """Whether a connection is open and its socket holds no bytes that have not been read."""
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def detect_dead_peer(plain: socket.socket, seconds: float) -> None:
    """Let the kernel drop a connection whose peer's machine is gone; a silent process is not."""
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PERIOD_SECONDS)
    plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_SECONDS)
    plain.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, round(seconds * _MS_PER_SECOND))
    )


def allow_pause(plain: socket.socket, seconds: float) -> None:
    """Keep the limit of `detect_dead_peer`, except while a live peer takes no more bytes.

    The kernel applies it to a closed window too, though the peer answers the probes.
    """
    info = plain.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_UNACKED.size)
    (probes,), (unacked,) = _TCP_PROBES.unpack_from(info), _TCP_UNACKED.unpack_from(info)
    is_paused = not unacked and unacknowledged_bytes(plain) and probes < MAX_UNANSWERED_PROBES
    limit = 0 if is_paused else max(1, round(seconds * _MS_PER_SECOND))
    plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)


def reset_on_close(plain: socket.socket, *, enabled: bool = True) -> None:
    """Let closing a connection reset it, also if this process is killed.

    The peer notices a reset even while it doesn't read, and takes it for no end in order.
    """
    plain.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE if enabled else _END_ON_CLOSE
    )
