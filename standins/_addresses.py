"""Loopback addresses of a stand-in fleet, so that several can run at once."""

import errno
import socket

import attrs

LOCK_PORT = 8999
MAX_BLOCKS = 200
"""Number of address blocks to try; 127.1.0.0 is the second.

This is more than the number of fleets that a machine can run.
"""


@attrs.frozen
class Addresses:
    """The addresses of one fleet, all within 127.BLOCK.0.0."""

    block: int = 0

    @property
    def platform(self) -> str:
        """The platform's IP address."""
        return f"127.{self.block}.3.1"

    @property
    def fabric(self) -> str:
        """The IP address that callers send to."""
        return f"127.{self.block}.4.1"

    def vm(self, number: int) -> str:
        """Returns the IP address of a VM, numbered from 1."""
        return f"127.{self.block}.1.{number}"

    def upstream(self, number: int) -> str:
        """Returns the IP address of an upstream, numbered from 1."""
        return f"127.{self.block}.2.{number}"

    def caller(self, number: int) -> str:
        """Returns the IP address of a group of callers, numbered from 1."""
        return f"127.{self.block}.5.{number}"


FIRST_BLOCK = Addresses()


class Reservation:
    """Reserves an address block that no other stand-in fleet here uses.

    Two concurrent demos would otherwise compete for the same ports, and each
    would count the other's requests. The lock is a bound socket, so the kernel
    releases it however the process ends.
    """

    def __init__(self):
        self._lock, self.addresses = _lock_first_free()

    def release(self) -> None:
        """Releases the block."""
        self._lock.close()


def _lock_first_free() -> tuple[socket.socket, Addresses]:
    for block in range(MAX_BLOCKS):
        addresses = Addresses(block)
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((addresses.platform, LOCK_PORT))
        except OSError as error:
            lock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return lock, addresses
    raise RuntimeError(f"all {MAX_BLOCKS} blocks of addresses are in use")
