"""Address look-up, compared with a linear search through all blocks."""

import ipaddress
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from flamingotiller import address_blocks, errors


def longest_match(zone_by_block, address):
    parsed = ipaddress.ip_address(address)
    matching = [
        (ipaddress.ip_network(text).prefixlen, zone)
        for text, zone in zone_by_block.items()
        if parsed in ipaddress.ip_network(text)
    ]
    return max(matching)[1] if matching else None


@hypothesis.settings(deadline=None, derandomize=True, max_examples=150)
@hypothesis.given(seed=st.integers(0, 10**6), count=st.integers(0, 25))
def test_result_equals_a_linear_search(seed, count):
    rng = random.Random(seed)
    blocks = {}
    for _ in range(count):
        if rng.random() < 0.5:
            base = rng.randrange(16) << 28 | rng.randrange(1 << 6)
            network = ipaddress.ip_network((base, rng.choice([4, 8, 26, 28, 32])), strict=False)
        else:
            base = rng.randrange(4) << 126 | rng.randrange(8) << 64
            network = ipaddress.ip_network((base, rng.choice([2, 61, 63, 64])), strict=False)
        blocks[str(network)] = f"z{rng.randrange(4)}"
    table = address_blocks.BlockTable(blocks)
    for _ in range(30):
        v4 = ipaddress.IPv4Address(rng.randrange(16) << 28 | rng.randrange(1 << 7))
        v6 = ipaddress.IPv6Address(rng.randrange(4) << 126 | rng.randrange(16) << 64 | 5)
        for address in (str(v4), str(v6), "255.255.255.255", "0.0.0.0"):
            assert table.zone_of(address) == longest_match(blocks, address), (blocks, address)


@pytest.mark.parametrize("text", ["", "10.0.0.0/33", "10.0.0.1/24", "x"])
def test_malformed_block_is_rejected(text):
    with pytest.raises(errors.InvalidInputError):
        address_blocks.BlockTable({text: "z"})


def test_malformed_address_is_rejected():
    with pytest.raises(errors.InvalidInputError):
        address_blocks.BlockTable({"10.0.0.0/8": "z"}).zone_of("10.0.0")
