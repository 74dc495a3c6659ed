"""Look-up of the zone nearest to a client address.

Address blocks are stored in sorted arrays, at about 18 bytes per IPv6 block and 9 bytes per IPv4
block, so that 1.4 million blocks fit in the memory of a small instance."""

from __future__ import annotations

import array
import bisect
import collections.abc
import ipaddress

from flamingotiller import errors

_NO_ZONE = 0xFFFF


class BlockTable:
    """Longest-prefix match of addresses, with nested blocks flattened to disjoint ranges.

    Args:
        zone_by_block: Zone name by block in CIDR notation; blocks may be nested.

    Raises:
        errors.InvalidInputError: A block is malformed, or there are more than 65,534 zones.
    """

    def __init__(self, zone_by_block: collections.abc.Mapping[str, str]) -> None:
        self._zones = sorted(set(zone_by_block.values()))
        if len(self._zones) >= _NO_ZONE:
            raise errors.InvalidInputError("too many zones", step="load blocks")
        number_by_zone = {zone: number for number, zone in enumerate(self._zones)}
        blocks: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
        for text, zone in zone_by_block.items():
            try:
                block = ipaddress.ip_network(text)
            except ValueError as error:
                raise errors.InvalidInputError(str(error), step="load blocks") from error
            # Only the upper 64 bits of an IPv6 address are stored, so blocks within the same /64
            # are not distinguished.
            scale = 0 if block.version == 4 else 64
            first = int(block.network_address) >> scale
            last = int(block.broadcast_address) >> scale
            blocks[block.version].append((first, last, number_by_zone[zone]))
        self._starts_v4, self._zones_v4 = _flatten(blocks[4], "I")
        self._starts_v6, self._zones_v6 = _flatten(blocks[6], "Q")

    def __len__(self) -> int:
        return len(self._starts_v4) + len(self._starts_v6)

    @property
    def byte_count(self) -> int:
        """Size of the arrays in bytes."""
        arrays = (self._starts_v4, self._zones_v4, self._starts_v6, self._zones_v6)
        return sum(len(item) * item.itemsize for item in arrays)

    def zone_of(self, address: str) -> str | None:
        """Returns the zone nearest to an address, or None when no block contains it.

        Raises:
            errors.InvalidInputError: The text is not an IP address.
        """
        try:
            parsed = ipaddress.ip_address(address)
        except ValueError as error:
            raise errors.InvalidInputError(str(error), step="look up address") from error
        if parsed.version == 4:
            return self._find(self._starts_v4, self._zones_v4, int(parsed))
        return self._find(self._starts_v6, self._zones_v6, int(parsed) >> 64)

    def _find(self, starts: array.array, zones: array.array, value: int) -> str | None:
        position = bisect.bisect_right(starts, value) - 1
        if position < 0 or zones[position] == _NO_ZONE:
            return None
        return self._zones[zones[position]]


def _flatten(blocks: list[tuple[int, int, int]], typecode: str) -> tuple[array.array, array.array]:
    """Converts nested blocks into the first address and the zone of each of the disjoint ranges."""
    starts, zones = array.array(typecode), array.array("H")
    # An outer block sorts before an inner block that starts at the same address.
    blocks.sort(key=lambda block: (block[0], -block[1]))
    open_blocks: list[tuple[int, int]] = []

    def start_range(start: int, zone: int) -> None:
        if starts and starts[-1] == start:
            zones[-1] = zone
        elif not zones or zones[-1] != zone:
            starts.append(start)
            zones.append(zone)

    def close_blocks_before(limit: int | None) -> None:
        while open_blocks and (limit is None or open_blocks[-1][0] < limit):
            last, _ = open_blocks.pop()
            while open_blocks and open_blocks[-1][0] <= last:
                open_blocks.pop()
            next_start = last + 1
            if next_start < 1 << (8 * starts.itemsize):
                start_range(next_start, open_blocks[-1][1] if open_blocks else _NO_ZONE)

    for first, last, zone in blocks:
        close_blocks_before(first)
        start_range(first, zone)
        open_blocks.append((last, zone))
    close_blocks_before(None)
    return starts, zones
