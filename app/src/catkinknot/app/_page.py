"""Render the operators' page and the timeline as plain HTML."""

import time
from html import escape

from catkinknot.journal import Event, LaneHealth, stamp_wall_s

from ._status import ServiceStatus, Timeline, ZoneStatus

__all__ = ["render_page", "render_timeline"]

_REFRESH_PERIOD_S = 5
_LANE_PX = 26
_WIDTH_PX = 1000
_LEFT_PX = 150

_STYLE = """
body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;max-width:60rem;padding:.5rem;
background:#fff;color:#1b1b1b}
h1{font-size:1.3rem;padding:.6rem;border-radius:.3rem}
h2{font-size:1.1rem;margin:1.2rem 0 .3rem}
table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:.25rem .4rem;border-bottom:1px solid #ccc;vertical-align:top}
.up{background:#d9f2dd}.partly{background:#fff0c2}.down{background:#f8d0cd}.idle{color:#666}
.wrap{overflow-x:auto}
"""


def render_page(status: ServiceStatus) -> str:
    """Return the operators' page.

    Args:
        status: The status of the service.

    Returns:
        A whole HTML document that refreshes itself.
    """
    state, headline = _headline(status)
    parts = [
        f'<h1 class="{state}">{escape(headline)}</h1>',
        f"<p>Seen by instance {escape(status.asked)} at {_clock(status.at_s)}.</p>",
        _visibility(status),
        "<h2>Work</h2>",
        _lanes(status),
        "<h2>Availability zones</h2>",
        _zones(status),
        "<h2>Servers not in full use</h2>",
        _troubled(status),
        "<h2>Queues</h2>",
        _queues(status),
        "<h2>Instances</h2>",
        _instances(status),
    ]
    title = f"catkinknot: {state}"
    return _document(title, "\n".join(parts), refresh=True)


def render_timeline(timeline: Timeline) -> str:
    """Return a page that shows events, with one lane for each process.

    Args:
        timeline: The events.

    Returns:
        A whole HTML document with a picture and a table.
    """
    lanes = sorted({event.instance for event in timeline.events})
    notes = [f"<p>No answer from instance {escape(name)}.</p>" for name in timeline.unasked]
    rows = [
        [
            _clock(stamp_wall_s(event.stamp), exact=True),
            event.instance,
            event.part,
            event.name,
            event.cause.job,
            event.text,
        ]
        for event in timeline.events
    ]
    table = _table(["Time", "Instance", "Part", "Event", "Job", "Text"], rows)
    body = "\n".join(["<h1>Timeline</h1>", *notes, _picture(timeline.events, lanes), table])
    return _document("catkinknot: timeline", body, refresh=False)


def _headline(status: ServiceStatus) -> tuple[str, str]:
    """Return the state of the service as one word, and a sentence about it."""
    down = [lane for lane in status.lanes if lane.state == "down"]
    partly = [lane for lane in status.lanes if lane.state == "partly"]
    if status.config_version == 0:
        return "down", "Down: no configuration is in force."
    if down:
        return "down", f"Down: {_names(down)}."
    if partly:
        return "partly", f"Partly down: {_names(partly)}."
    vacant = [zone.zone for zone in status.zones if not zone.holder]
    if vacant:
        return "partly", f"Up, but no instance that answers schedules {', '.join(vacant)}."
    if any(zone.unhonoured for zone in status.zones):
        return "partly", "Up, but a guarantee cannot be honoured now."
    return "up", "Up: nothing is down."


def _names(lanes: list[LaneHealth]) -> str:
    """Return the workspaces and kinds of some lanes as text."""
    return ", ".join(f"{lane.workspace} {lane.kind}" for lane in lanes)


def _visibility(status: ServiceStatus) -> str:
    """Return what the answering instance can't see."""
    if not status.unseen:
        return "<p>This instance can see the whole service.</p>"
    items = "".join(f"<li>{escape(text)}</li>" for text in status.unseen)
    return f'<div class="partly"><p>What this instance can\'t see:</p><ul>{items}</ul></div>'


def _lanes(status: ServiceStatus) -> str:
    """Return a table of the health of each workspace and kind of work."""
    rows = []
    for lane in status.lanes:
        since = _clock(lane.since_s) if lane.since_s else ""
        rows.append([lane.workspace, lane.kind, lane.state, since, lane.why, lane.what_to_do])
    classes = [lane.state for lane in status.lanes]
    titles = ["Workspace", "Kind of work", "State", "Since", "Why", "What to do"]
    return _table(titles, rows, classes)


def _zones(status: ServiceStatus) -> str:
    """Return a table of the zones and the instances that schedule them."""
    rows = [_zone_row(zone) for zone in status.zones]
    classes = ["" if zone.holder and not zone.unhonoured else "partly" for zone in status.zones]
    titles = ["Zone", "Scheduled by", "Since", "Servers", "Free accelerators", "Guarantees"]
    return _table(titles, rows, classes)


def _zone_row(zone: ZoneStatus) -> list[str]:
    """Return the cells of one zone."""
    if not zone.holder:
        return [zone.zone, "nobody who answers", "", "", "", "not known"]
    guarantees = "honoured"
    if zone.unhonoured:
        shapes = ", ".join(map(str, zone.unhonoured))
        guarantees = f"NOT honoured: shapes of {shapes} accelerators can't be placed"
    free = f"{zone.free_accelerators} of {zone.accelerators}"
    return [zone.zone, zone.holder, _clock(zone.since_s), str(zone.servers), free, guarantees]


def _troubled(status: ServiceStatus) -> str:
    """Return a table of the servers that are not in full use."""
    rows = [
        [item.server, item.state, _clock(item.since_s), item.why]
        for instance in status.instances
        for item in instance.troubled
    ]
    return _table(["Server", "State", "Since", "Why"], rows) if rows else "<p>None.</p>"


def _queues(status: ServiceStatus) -> str:
    """Return a table of the queues."""
    rows = [
        [instance.zone, queue.workspace, queue.kind, str(queue.jobs), f"{queue.oldest_wait_s:.0f}"]
        for instance in status.instances
        for queue in instance.queues
    ]
    titles = ["Zone", "Workspace", "Kind of work", "Waiting", "Oldest wait in s"]
    return _table(titles, rows) if rows else "<p>No jobs are waiting.</p>"


def _instances(status: ServiceStatus) -> str:
    """Return a table of the status that each instance reports."""
    rows = []
    for item in status.instances:
        log_response = "never" if item.log_silent_s < 0 else f"{item.log_silent_s:.0f} s ago"
        rows.append(
            [
                item.instance,
                item.zone,
                item.state,
                str(item.config_version),
                log_response,
                ", ".join(item.unseen),
            ]
        )
    titles = ["Instance", "Zone", "State", "Configuration", "Last log response", "Can't reach"]
    return _table(titles, rows)


def _table(titles: list[str], rows: list[list[str]], classes: list[str] | None = None) -> str:
    """Return a table as HTML."""
    cells = "".join(f"<th>{escape(text)}</th>" for text in titles)
    lines = [f"<tr>{cells}</tr>"]
    for index, row in enumerate(rows):
        name = classes[index] if classes else ""
        cells = "".join(f"<td>{escape(text)}</td>" for text in row)
        lines.append(f'<tr class="{name}">{cells}</tr>')
    return f'<div class="wrap"><table>{"".join(lines)}</table></div>'


def _picture(events: tuple[Event, ...], lanes: list[str]) -> str:
    """Return a picture of events as dots, with one lane for each process."""
    if not events:
        return "<p>No events.</p>"
    first_s = stamp_wall_s(events[0].stamp)
    span_s = max(stamp_wall_s(events[-1].stamp) - first_s, 0.001)
    height_px = _LANE_PX * (len(lanes) + 1)
    width_px = _LEFT_PX + _WIDTH_PX + 20
    elements = []
    for row, name in enumerate(lanes):
        y = _LANE_PX * (row + 1)
        elements.append(f'<text x="4" y="{y + 5}" font-size="13">{escape(name)}</text>')
        elements.append(
            f'<line x1="{_LEFT_PX}" y1="{y}" x2="{_LEFT_PX + _WIDTH_PX}" y2="{y}" stroke="#bbb"/>'
        )
    for event in events:
        y = _LANE_PX * (lanes.index(event.instance) + 1)
        x = _LEFT_PX + _WIDTH_PX * (stamp_wall_s(event.stamp) - first_s) / span_s
        label = escape(f"{event.name} {event.cause.job} {event.text}")
        elements.append(
            f'<circle cx="{x:.1f}" cy="{y}" r="5" fill="#2a6f97" fill-opacity=".7">'
            f"<title>{label}</title></circle>"
        )
    drawing = "".join(elements)
    return (
        f'<div class="wrap"><svg viewBox="0 0 {width_px} {height_px}" width="{width_px}" '
        f'height="{height_px}" role="img">{drawing}</svg></div>'
        f"<p>{len(events)} events over {span_s:.3f} s.</p>"
    )


def _document(title: str, body: str, *, refresh: bool) -> str:
    """Return a whole HTML document."""
    refresh_tag = f'<meta http-equiv="refresh" content="{_REFRESH_PERIOD_S}">' if refresh else ""
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width,initial-scale=1">'
        f"{refresh_tag}<title>{escape(title)}</title><style>{_STYLE}</style></head>"
        f"<body>{body}</body></html>"
    )


def _clock(at_s: float, *, exact: bool = False) -> str:
    """Return a time of day as text."""
    text = time.strftime("%H:%M:%S", time.localtime(at_s))
    return f"{text}.{int(at_s * 1000) % 1000:03}" if exact else text
