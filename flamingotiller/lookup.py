"""Look-ups: which entry instances a caller should use, best first, and for how long."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from flamingotiller import configuration, lease, membership

MAX_INSTANCES = 6


@dataclasses.dataclass(frozen=True)
class Target:
    """An entry instance in an answer.

    Attributes:
        instance: Its name.
        zone: Its zone.
        address: Its address.
    """

    instance: str
    zone: str
    address: str


def rank(
    table: membership.MemberTable,
    view: configuration.View,
    organisation: str,
    near: str | None,
    now: datetime.timedelta,
) -> list[Target]:
    """Returns entry instances, the best first.

    Callers of one organisation are led to the instance of the zone that holds its tokens, so
    that most requests need no message for their token; the others follow in an order of their
    own for each organisation, which spreads the load when that instance is gone.

    Args:
        table: Members known here.
        view: Configuration in force.
        organisation: Whose caller asks; empty if unknown.
        near: Zone nearest to the caller, None for the zone of this instance.
        now: Monotonic time.
    """
    own_zone = table.own.zone
    home = near if near and not _drained_zone(view, near) else own_zone
    zones = [home, *neighbours(view, home)]
    targets: list[Target] = []
    for zone in zones:
        if zone == own_zone and _drained_zone(view, zone) and len(zones) > 1:
            continue
        targets += _in_zone(table, view, zone, organisation, now)
        if len(targets) >= MAX_INSTANCES:
            break
    return targets[:MAX_INSTANCES]


def _in_zone(
    table: membership.MemberTable,
    view: configuration.View,
    zone: str,
    organisation: str,
    now: datetime.timedelta,
) -> list[Target]:
    if zone == table.own.zone:
        members = [m for m in table.live(now) if not m.leaving]
        address_by_instance = {member.instance: member.address for member in members}
    else:
        summary = table.summary_by_zone.get(zone)
        address_by_instance = dict(summary.addresses) if summary else {}
    usable = [name for name in address_by_instance if ("instance", name) not in view.drained]
    ordered = order(organisation, usable)
    return [Target(name, zone, address_by_instance[name]) for name in ordered]


def order(organisation: str, instances: typing.Sequence[str]) -> list[str]:
    """Returns instances in the order in which an organisation's callers should use them."""
    if not instances:
        return []
    holder = lease.preferred_holder(lease.shard_of("organisation", organisation), instances)
    rest = [name for name in instances if name != holder]
    rest.sort(key=lambda name: lease.rendezvous_weight(organisation, name), reverse=True)
    return [holder, *rest]


def _drained_zone(view: configuration.View, zone: str) -> bool:
    if ("zone", zone) in view.drained:
        return True
    found = view.deployment.zones_by_name.get(zone) if view.deployment else None
    return found is not None and ("region", found.region) in view.drained


def neighbours(view: configuration.View, home: str) -> list[str]:
    """Returns the zones that may take over work of ``home``, those of its region first."""
    if view.deployment is None:
        return []
    zones = view.deployment.zones_by_name
    region = zones[home].region if home in zones else ""
    others = [
        zone for zone in zones.values() if zone.name != home and not _drained_zone(view, zone.name)
    ]
    others.sort(key=lambda zone: (zone.region != region, lease.rendezvous_weight(home, zone.name)))
    return [zone.name for zone in others]
