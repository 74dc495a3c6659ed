"""What a zone may use of an organisation's rate and burst while the configuration changes.

Other processes may act on an older version for as long as its confirmation lasts, and the version
that this process had before need not be the one that they have. A holder that starts to keep an
organisation's tokens therefore begins with the smallest of the shares that any of them may give
its zone; the bucket then grows with its usual delay: docs/design/rate-limits.md."""

from __future__ import annotations

import datetime

from flamingotiller import configuration, feed, limiter

EMPTY_SHARE = limiter.Share(0.0, 0.0)


def share(view: configuration.View, organisation: str, zone: str) -> limiter.Share | None:
    """Returns a zone's share under one version, None where nobody is admitted under it."""
    terms = view.contract_by_organisation.get(organisation)
    if terms is None or view.deployment is None:
        return None
    zones = view.deployment.zones_by_name
    return limiter.zone_share(organisation, terms.rate, terms.burst, zone, zones)


def initial_share(source: feed.Feed, organisation: str, zone: str) -> limiter.Share:
    """Returns the share with which a new holder begins.

    Args:
        source: The holder's configuration.
        organisation: Organisation that has a contract.
        zone: Zone of the holder.
    """
    present = share(source.view, organisation, zone) or EMPTY_SHARE
    for row in source.replaced_within(limiter.GROWTH_DELAY):
        if may_have_skipped_terms(row, organisation):
            return EMPTY_SHARE
        earlier = share(row.view, organisation, zone)
        present = present.capped(earlier) if earlier else present
    return present


def may_have_skipped_terms(row: feed.ReplacedVersion, organisation: str) -> bool:
    """Returns whether the terms may have been others between a version and the next one here."""
    return f"contract/{organisation}" in row.skipped_subjects or any(
        subject.startswith("deployment/") for subject in row.skipped_subjects
    )


def update_bucket(
    source: feed.Feed,
    organisation: str,
    zone: str,
    bucket: limiter.Bucket,
    now: datetime.timedelta,
) -> None:
    """Brings a bucket up to date with the version in force.

    Args:
        source: The holder's configuration.
        organisation: Whose pool it is.
        zone: Zone of the holder.
        bucket: Its bucket, up to date with the version before.
        now: Monotonic time.
    """
    replaced = source.last_replaced()
    if replaced and may_have_skipped_terms(replaced, organisation):
        bucket.set_share(EMPTY_SHARE, now)
    bucket.set_share(share(source.view, organisation, zone) or EMPTY_SHARE, now)
