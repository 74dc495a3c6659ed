"""Look-ups: the entry instances that a caller should use, in order of preference."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from flamingotiller import configuration, lease, membership

MAX_INSTANCES = 6


@dataclasses.dataclass(frozen=True)
class Target:
    """An entry instance in the result of a look-up.

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
    """Returns entry instances in the order in which a caller should use them.

    In each zone the instance that holds the organisation's tokens comes first, so that most
    requests take their token without a message. The order of the others differs between
    organisations, which spreads the load when that instance fails.

    Args:
        table: Members known to this instance.
        view: Configuration in force.
        organisation: The caller's organisation; empty if unknown.
        near: Zone nearest to the caller, None for the zone of this instance.
        now: Monotonic time.
    """
    own_zone = table.own.zone
    home = near if near and not _is_drained(view, near) else own_zone
    zones = [home, *fallback_zones(view, home)]
    targets: list[Target] = []
    for zone in zones:
        if zone == own_zone and _is_drained(view, zone) and len(zones) > 1:
            continue
        targets += _rank_zone(table, view, zone, organisation, now)
        if len(targets) >= MAX_INSTANCES:
            break
    return targets[:MAX_INSTANCES]


def _rank_zone(
    table: membership.MemberTable,
    view: configuration.View,
    zone: str,
    organisation: str,
    now: datetime.timedelta,
) -> list[Target]:
    if zone == table.own.zone:
        members = [member for member in table.live(now) if not member.leaving]
        address_by_instance = {member.instance: member.address for member in members}
    else:
        summary = table.summary_by_zone.get(zone)
        address_by_instance = dict(summary.addresses) if summary else {}
    usable = [name for name in address_by_instance if ("instance", name) not in view.drained]
    ranked = rank_instances(organisation, usable)
    return [Target(name, zone, address_by_instance[name]) for name in ranked]


def rank_instances(organisation: str, instances: typing.Sequence[str]) -> list[str]:
    """Returns instances in the order in which an organisation's callers should use them."""
    if not instances:
        return []
    holder = lease.preferred_holder(lease.shard_of("organisation", organisation), instances)
    others = [name for name in instances if name != holder]
    others.sort(key=lambda name: lease.rendezvous_weight(organisation, name), reverse=True)
    return [holder, *others]


def _is_drained(view: configuration.View, zone: str) -> bool:
    if ("zone", zone) in view.drained:
        return True
    zone_record = view.deployment.zones_by_name.get(zone) if view.deployment else None
    return zone_record is not None and ("region", zone_record.region) in view.drained


def fallback_zones(view: configuration.View, home: str) -> list[str]:
    """Returns the zones that may take over work of ``home``, those of the same region first."""
    if view.deployment is None:
        return []
    zones = view.deployment.zones_by_name
    region = zones[home].region if home in zones else ""
    others = [
        zone for zone in zones.values() if zone.name != home and not _is_drained(view, zone.name)
    ]
    others.sort(key=lambda zone: (zone.region != region, lease.rendezvous_weight(home, zone.name)))
    return [zone.name for zone in others]
