"""Checks of the guarantees, on what callers and endpoints have seen."""

import collections

from . import callers
from . import entries
from . import runners
from . import site as site_module

#: Seconds after its word in which a leaving endpoint may get requests.
DRAIN = 2.0
#: Seconds after which a removed key must not work.
REVOKE = 5.0
#: Seconds of calm before and after which rules with a time bound hold.
CONTACT = 3.0
SLACK = 0.5
#: How often a request is sent at most by entries in touch with each other,
#: after it has ended so many endpoints.
MOST_SENDS = 3
#: The same for a part of prompts.
PART_ENDS = 5
ENDS = 3
#: Seconds after the start of a backoff in which requests in transit may
#: arrive, and the maximum number from one entry in the rest of the backoff.
BACKOFF_GRACE = 0.5
MOST_IN_BACKOFF = 2
#: Seconds in which the requests to an endpoint with a rate limit are counted,
#: the factor and the requests by which they may exceed what it allows, and
#: seconds since an entry passed on a response that names it from which the
#: entry's requests count.
LIMIT_WINDOW = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_TOLD = 0.5
#: Seconds in which the requests to a cold endpoint are counted.
COLD_WINDOW = 1.0
#: The budget of repeats: its window in seconds, repeats for each request, and
#: further repeats in each window.
BUDGET_WINDOW = 10.0
BUDGET_RATIO = 0.2
BUDGET_EXTRA = 60
#: Seconds before the deadline of a request from which its end is due.
DEADLINE_SLACK = 0.1
#: Seconds within which the end of an unread request shows.
AT_ONCE = 0.2


def check(site, faults, planned_only):
    """Return a line for each broken guarantee."""
    runs = collections.defaultdict(list)
    for run in site.runs:
        runs[run.request].append(run)
    broken = []
    for told in site.told:
        broken += check_request(told, runs[told.request], site)
        cut = is_cut(told, runs[told.request])
        if planned_only and cut and not has_ended(told, runs, site):
            broken.append(f'{told.request}: cut by planned work: {told}')
    broken += check_drains(site, faults)
    broken += check_evacuations(site, faults)
    broken += check_ends(site, faults)
    broken += check_backoffs(site, faults)
    broken += check_leaving(site)
    broken += check_memory(site)
    broken += check_limits(site, faults)
    broken += check_colds(site, faults)
    broken += check_budget(site)
    if site.group is not None:
        broken += site.group.mixed
    known = {told.request for told in site.told}
    broken += [f'{one}: run by nobody' for one in set(runs) - known]
    return broken


def check_memory(site):
    """Return the gateways that took up more memory than they may."""
    for entry in site.entries:
        if entry.peak > entries.MEMORY * entries.MEGABYTE:
            yield f'{entry.host}: took up {entry.peak} bytes'


def is_cut(told, runs):
    """Whether a request was read and then got no whole answer.

    One that crosses the close of an idle connection, or that waits to be
    accepted as the port closes, was never read: no line of any entry names
    it, it has run nowhere, and its caller sees the end at once.  The stop has
    not cut off one whose time was over.
    """
    if told.whole or told.ended_at > told.deadline - DEADLINE_SLACK:
        return False
    return bool(runs) or told.ended_at - told.sent_at > AT_ONCE


def has_ended(told, runs, site):
    """Whether an endpoint that ran a request ended before its answer did."""
    ended = (site.ended.get(run.endpoint) for run in runs[told.request])
    return any(
        at is not None and told.sent_at <= at <= told.ended_at for at in ended
    )


def check_request(told, runs, site):
    """Return what is broken about one request."""
    name = told.request
    if told.path.startswith('/once/') and len(runs) > 1:
        yield f'{name}: ran {len(runs)} times'
    if told.status in callers.NOT_RUN and told.whole and runs:
        yield f'{name}: told {told.status} and ran'
    if told.status == 200:
        expected = callers.whole_body(told)
        if told.whole and told.body != expected:
            yield f'{name}: another body: {told.body[:200]!r}'
        if not expected.startswith(told.body):
            yield f'{name}: a broken body: {told.body[:200]!r}'
    gone = site.revoked.get(told.key)
    if runs and gone is not None and told.sent_at > gone + REVOKE:
        yield f'{name}: ran {told.sent_at - gone:.1f} s after its key went'
    for run in runs:
        if run.customer != site.customer_of(told.key):
            yield f'{name}: ran for {run.customer!r}'


def check_drains(site, faults):
    """Return the requests that came to endpoints that had left."""
    leaving = {
        one.identity: one.leaving_since
        for one in site.all_runners
        if one.leaving_since is not None
    }
    for run in site.runs:
        since = leaving.get(run.endpoint)
        if since is None or run.at <= since + DRAIN + SLACK:
            continue
        if not any(
            span.begun < run.at and span.ended > since - CONTACT
            for span in faults.disturbed
        ):
            yield (
                f'{run.request}: at {run.endpoint} {run.at - since:.1f} s '
                'after its leaving'
            )


def check_evacuations(site, faults):
    """Return the requests that came to an evacuated data centre.

    Excludes those shortly after a disturbance.
    """
    zones = {one.identity: one.zone for one in site.all_runners}
    allowed = entries.EVACUATE_MS / 1000.0 + SLACK
    for one in site.arrivals:
        if zones[one.endpoint] != site_module.EVACUATED:
            continue
        for span in site.evacuations:
            if not span.begun + allowed < one.at < span.ended:
                continue
            if not any(
                fault.begun < one.at and fault.ended > one.at - CONTACT
                for fault in faults.disturbed
            ):
                yield (
                    f'{one.request}: at {one.endpoint} '
                    f'{one.at - span.begun:.1f} s after an evacuation'
                )


def check_backoffs(site, faults):
    """Return the backoffs in which an endpoint got too many requests.

    Excludes those where the response may have been lost or delayed, or where
    the entry has started or resumed since.
    """
    for (endpoint, number), found in group_arrivals(site).items():
        for declined in found:
            if not declined.backoff:
                continue
            grace_end = declined.at + BACKOFF_GRACE
            late = [
                one
                for one in found
                if grace_end < one.at <= declined.at + declined.backoff
            ]
            if len(late) <= MOST_IN_BACKOFF:
                continue
            last_at = late[-1].at
            entry = site.entries[number]
            if any(declined.at <= at <= last_at for at in entry.resumed_at):
                continue
            if any(
                span.begun <= grace_end and span.ended >= declined.at - SLACK
                for span in faults.network_faults
            ):
                continue
            yield (
                f'{endpoint}: got {len(late)} requests from entry {number} '
                f'during a backoff of {declined.backoff:.1f} s'
            )


def check_leaving(site):
    """Return the requests sent to endpoints after they reported shutdown.

    Excludes only those where the entry has started or resumed since.
    """
    told = {one.request: one for one in site.told}
    for (endpoint, number), found in group_arrivals(site).items():
        delivery_times = [
            told[one.request].ended_at
            for one in found
            if one.leaving and told[one.request].status == 200
            if told[one.request].whole
        ]
        if not delivery_times:
            continue
        since = min(delivery_times)
        for one in found:
            if told[one.request].sent_at <= since + DRAIN:
                continue
            entry = site.entries[number]
            if any(since <= at <= one.at for at in entry.resumed_at):
                continue
            yield (
                f'{one.request}: reached {endpoint} {one.at - since:.1f} s '
                f'after entry {number} was told of its shutdown'
            )


def check_limits(site, faults):
    """Return the rate limits that were exceeded.

    Excludes requests of entries that started or resumed in the window or
    shortly before it, and windows in which requests may have been delayed on
    their way.
    """
    by_endpoint = collections.defaultdict(list)
    for (endpoint, number), found in group_arrivals(site).items():
        by_endpoint[endpoint] += [(one, number) for one in found]
    for runner in site.all_runners:
        arrivals = sorted(
            by_endpoint[runner.identity], key=lambda pair: pair[0].at
        )
        for span in runner.limit_spans:
            allowed = LIMIT_FACTOR * span.rate * LIMIT_WINDOW + LIMIT_EXTRA
            count = max(count_windows(site, faults, span, arrivals), default=0)
            if count > allowed:
                yield (
                    f'{runner.identity}: got {count} requests in '
                    f'{LIMIT_WINDOW} s under a limit of {span.rate:.2f} a '
                    f'second; {allowed:.1f} are allowed'
                )


def check_colds(site, faults):
    """Return the cold endpoints that got too many requests in a second.

    No gateway is excused, but windows in which requests may have been delayed
    on their way are left out.
    """
    allowed = site_module.COLD_RATE * entries.COLD_FACTOR + entries.COLD_EXTRA
    for runner in site.all_runners:
        begun = runner.restarted_at
        times = [
            one.at
            for one in site.arrivals
            if one.endpoint == runner.identity
            and begun <= one.at <= begun + runners.COLD_SECONDS
        ]
        count = max(
            (
                count_between(times, at - COLD_WINDOW, at)
                for at in times
                if not any(
                    fault.begun <= at and fault.ended >= at - COLD_WINDOW
                    for fault in faults.network_faults
                )
            ),
            default=0,
        )
        if count > allowed:
            yield (
                f'{runner.identity}: got {count} requests in {COLD_WINDOW} s '
                f'while cold; {allowed:.1f} are allowed'
            )


def count_windows(site, faults, span, arrivals):
    """Return the number of requests in the window before each arrival.

    :param arrivals: arrivals at the endpoint with their entries, in order.
    """
    told = find_told(site, span, arrivals)
    for last, _ in arrivals:
        begun = max(last.at - LIMIT_WINDOW, span.begun + CONTACT)
        if not begun <= last.at <= span.ended:
            continue
        if any(
            fault.begun <= last.at and fault.ended >= begun - SLACK
            for fault in faults.network_faults
        ):
            continue
        yield sum(
            begun <= one.at <= last.at
            and one.at >= told.get(number, float('inf')) + LIMIT_TOLD
            and not any(
                begun - CONTACT <= at <= last.at
                for at in site.entries[number].resumed_at
            )
            for one, number in arrivals
        )


def find_told(site, span, arrivals):
    """Return when each entry first passed on a response with the limit."""
    told = {one.request: one for one in site.told}
    found = {}
    for one, number in arrivals:
        answer = told[one.request]
        if not span.begun <= one.at <= span.ended or not one.rate_limit:
            continue
        if answer.whole and answer.status == 200:
            found[number] = min(
                found.get(number, float('inf')), answer.ended_at
            )
    return found


def check_budget(site):
    """Return the services that got more repeats than the budget allows."""
    sent = collections.defaultdict(list)
    for told in site.told:
        sent[site.find_service(told.path)].append(told.sent_at)
    for service, repeats in group_repeats(site).items():
        for begun in repeats:
            ended = begun + BUDGET_WINDOW
            requests = max(
                count_between(sent[service], start, start + BUDGET_WINDOW)
                for start in (
                    begun,
                    begun - BUDGET_WINDOW / 2.0,
                    begun - BUDGET_WINDOW,
                )
            )
            allowed = BUDGET_RATIO * requests + BUDGET_EXTRA
            found = count_between(repeats, begun, ended)
            if found > allowed:
                yield (
                    f'{service}: got {found} repeats in {BUDGET_WINDOW} s for '
                    f'{requests} requests; {allowed:.1f} are allowed'
                )
                break


def group_repeats(site):
    """Return the times of arrivals beyond the first of each request."""
    services = {one.identity: one.service for one in site.all_runners}
    seen = set()
    found = collections.defaultdict(list)
    for one in sorted(site.arrivals, key=lambda arrival: arrival.at):
        if one.request in seen:
            found[services[one.endpoint]].append(one.at)
        seen.add(one.request)
    return found


def count_between(times, since, until):
    return sum(since <= at <= until for at in times)


def group_arrivals(site):
    """Return the arrivals by endpoint and entry number."""
    entries = {told.request: told.entry for told in site.told}
    found = collections.defaultdict(list)
    for one in site.arrivals:
        if one.request in entries:
            found[one.endpoint, entries[one.request]].append(one)
    return found


def check_ends(site, faults):
    """Return the requests that came to too many endpoints that they ended."""
    by_cause = collections.defaultdict(list)
    for run in site.runs:
        if run.part.startswith(runners.ENDS_BY_PART):
            by_cause[run.part].append(run)
        elif runners.ENDS in run.path:
            by_cause[run.path].append(run)
    for cause, runs in by_cause.items():
        most = ENDS if runners.ENDS in runs[0].path else PART_ENDS
        ended = {run.endpoint: run.at for run in reversed(runs)}
        if len(ended) < most:
            continue
        since = sorted(ended.values())[most - 1] + CONTACT
        late = [
            run
            for run in runs
            if run.at > since
            and not any(
                span.begun < run.at and span.ended > run.at - CONTACT
                for span in faults.disturbed
            )
        ]
        if len(late) > MOST_SENDS:
            yield (
                f'{cause}: sent {len(late)} times more after it had ended '
                f'{most} endpoints, {len(ended)} in all'
            )
