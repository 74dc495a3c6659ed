"""A zone's share of an organisation's rate and burst while the configuration changes.

Other processes may act on an older version until its confirmation expires, and that version need
not be the one that this process had before. A new holder of an organisation's tokens therefore
starts with the smallest share that its zone has under any version which may still be in use. The
bucket then grows with its usual delay: docs/design/rate-limits.md."""

from __future__ import annotations

import datetime

from flamingotiller import configuration, feed, limiter

EMPTY_SHARE = limiter.Share(0.0, 0.0)


def share(view: configuration.View, organisation: str, zone: str) -> limiter.Share | None:
    """Returns a zone's share under one version of the configuration.

    Returns None if that version admits no requests of the organisation: it has no contract for it,
    or no deployment.
    """
    terms = view.contract_by_organisation.get(organisation)
    if terms is None or view.deployment is None:
        return None
    zones = view.deployment.zones_by_name
    return limiter.zone_share(organisation, terms.rate, terms.burst, zone, zones)


def initial_share(source: feed.Feed, organisation: str, zone: str) -> limiter.Share:
    """Returns the share with which a new holder starts.

    Args:
        source: Feed of the holder's configuration.
        organisation: Organisation that has a contract.
        zone: Zone of the holder.
    """
    smallest = share(source.view, organisation, zone) or EMPTY_SHARE
    for replaced in source.replaced_within(limiter.GROWTH_DELAY):
        if may_have_skipped_terms(replaced, organisation):
            return EMPTY_SHARE
        earlier = share(replaced.view, organisation, zone)
        smallest = smallest.capped(earlier) if earlier else smallest
    return smallest


def may_have_skipped_terms(replaced: feed.ReplacedVersion, organisation: str) -> bool:
    """Returns whether this process may have skipped a version with other terms.

    Terms are the organisation's contract and the deployment. Skipped are the versions between the
    replaced one and the next one in force here.
    """
    return f"contract/{organisation}" in replaced.skipped_subjects or any(
        subject.startswith("deployment/") for subject in replaced.skipped_subjects
    )


def update_bucket(
    source: feed.Feed,
    organisation: str,
    zone: str,
    bucket: limiter.Bucket,
    now: datetime.timedelta,
) -> None:
    """Updates a bucket to the share under the version in force.

    Args:
        source: Feed of the holder's configuration.
        organisation: Organisation to which the bucket belongs.
        zone: Zone of the holder.
        bucket: Bucket that has the share under the previous version.
        now: Monotonic time.
    """
    replaced = source.last_replaced()
    if replaced and may_have_skipped_terms(replaced, organisation):
        bucket.set_share(EMPTY_SHARE, now)
    bucket.set_share(share(source.view, organisation, zone) or EMPTY_SHARE, now)
