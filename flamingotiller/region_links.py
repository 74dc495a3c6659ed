"""Budgets of the links between this instance's region and other regions.

A link's budget is kept on the side that receives the load."""

from __future__ import annotations

import datetime
import typing

from flamingotiller import shift

if typing.TYPE_CHECKING:
    from flamingotiller import entry

LINK_FRACTION = 0.5
DEFAULT_MBIT_PER_S = 1000.0


class RegionLinks:
    """Link budgets of an entry instance.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self._budget_by_region: dict[str, shift.LinkBudget] = {}

    def remote_region(self, zone: str) -> str:
        """Returns the region of a zone, or "" if it is this instance's region or unknown."""
        deployment = self._process.feed.view.deployment
        zones = deployment.zones_by_name if deployment else {}
        other, own = zones.get(zone), zones.get(self._process.config.zone)
        if other is None or own is None or other.region == own.region:
            return ""
        return other.region

    def budget(self, region: str, now: datetime.timedelta) -> shift.LinkBudget:
        """Returns the budget of the link from another region."""
        budget = self._budget_by_region.get(region)
        if budget is None:
            budget = shift.LinkBudget(self._bits_per_second(region), now)
            self._budget_by_region[region] = budget
        return budget

    def _bits_per_second(self, region: str) -> float:
        deployment = self._process.feed.view.deployment
        assert deployment is not None
        own = deployment.zones_by_name[self._process.config.zone].region
        mbit = deployment.mbit_per_s_by_regions.get(
            typing.cast(tuple[str, str], tuple(sorted((own, region)))), DEFAULT_MBIT_PER_S
        )
        zones = sum(zone.region == own for zone in deployment.zones_by_name.values())
        return mbit * 1e6 * LINK_FRACTION / max(1, zones)
