"""Write the operators' page and the picture of the time line as plain HTML."""

import time
from html import escape

from catkinknot.journal import Event, LaneHealth, stamp_wall_s

from ._status import ServiceStatus, Timeline, ZoneStatus

__all__ = ["render_page", "render_timeline"]

_REFRESH_S = 5
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
    """Write the operators' page.

    Args:
        status: What is known.

    Returns:
        A whole HTML document that refreshes itself.
    """
    state, headline = _headline(status)
    parts = [
        f'<h1 class="{state}">{escape(headline)}</h1>',
        f"<p>Seen by instance {escape(status.asked)} at {_clock(status.at_s)}.</p>",
        _unseen(status),
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


def render_timeline(line: Timeline) -> str:
    """Draw events with one lane for each process.

    Args:
        line: The events.

    Returns:
        A whole HTML document with a picture and a table.
    """
    lanes = sorted({event.instance for event in line.events})
    notes = [f"<p>Not asked, as it does not answer: {escape(name)}.</p>" for name in line.unasked]
    rows = [
        [
            _clock(stamp_wall_s(event.stamp), exact=True),
            event.instance,
            event.part,
            event.name,
            event.cause.job,
            event.text,
        ]
        for event in line.events
    ]
    table = _table(["Time", "Instance", "Part", "Event", "Job", "Text"], rows)
    body = "\n".join(["<h1>Time line</h1>", *notes, _picture(line.events, lanes), table])
    return _document("catkinknot: time line", body, refresh=False)


def _headline(status: ServiceStatus) -> tuple[str, str]:
    """Sum the work up in one word and one sentence."""
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
        return "partly", f"Up, but nobody seen here schedules {', '.join(vacant)}."
    if any(zone.unhonoured for zone in status.zones):
        return "partly", "Up, but a guarantee cannot be honoured now."
    return "up", "Up: nothing is down."


def _names(lanes: list[LaneHealth]) -> str:
    """Name some lanes."""
    return ", ".join(f"{lane.workspace} {lane.kind}" for lane in lanes)


def _unseen(status: ServiceStatus) -> str:
    """Write what can't be seen from here."""
    if not status.unseen:
        return "<p>This instance sees everything.</p>"
    items = "".join(f"<li>{escape(text)}</li>" for text in status.unseen)
    return f'<div class="partly"><p>What this instance can\'t see:</p><ul>{items}</ul></div>'


def _lanes(status: ServiceStatus) -> str:
    """Write the answer for each kind of work."""
    rows = []
    for lane in status.lanes:
        since = _clock(lane.since_s) if lane.since_s else ""
        rows.append([lane.workspace, lane.kind, lane.state, since, lane.why, lane.what_to_do])
    classes = [lane.state for lane in status.lanes]
    head = ["Workspace", "Kind of work", "State", "Since", "Why", "What to do"]
    return _table(head, rows, classes)


def _zones(status: ServiceStatus) -> str:
    """Write who schedules each zone."""
    rows = [_zone_row(zone) for zone in status.zones]
    classes = ["" if zone.holder and not zone.unhonoured else "partly" for zone in status.zones]
    head = ["Zone", "Scheduled by", "Since", "Servers", "Free accelerators", "Guarantees"]
    return _table(head, rows, classes)


def _zone_row(zone: ZoneStatus) -> list[str]:
    """Write one zone."""
    if not zone.holder:
        return [zone.zone, "nobody who answers", "", "", "", "not known"]
    kept = "honoured"
    if zone.unhonoured:
        shapes = ", ".join(map(str, zone.unhonoured))
        kept = f"NOT honoured: shapes of {shapes} accelerators have no room"
    free = f"{zone.free_accelerators} of {zone.accelerators}"
    return [zone.zone, zone.holder, _clock(zone.since_s), str(zone.servers), free, kept]


def _troubled(status: ServiceStatus) -> str:
    """Write which servers are not in full use."""
    rows = [
        [item.server, item.state, _clock(item.since_s), item.why]
        for instance in status.instances
        for item in instance.troubled
    ]
    return _table(["Server", "State", "Since", "Why"], rows) if rows else "<p>None.</p>"


def _queues(status: ServiceStatus) -> str:
    """Write the queues."""
    rows = [
        [instance.zone, queue.workspace, queue.kind, str(queue.jobs), f"{queue.oldest_wait_s:.0f}"]
        for instance in status.instances
        for queue in instance.queues
    ]
    head = ["Zone", "Workspace", "Kind of work", "Waiting", "Oldest wait in s"]
    return _table(head, rows) if rows else "<p>Nothing waits.</p>"


def _instances(status: ServiceStatus) -> str:
    """Write what each instance says."""
    rows = []
    for item in status.instances:
        silent = "never" if item.log_silent_s < 0 else f"{item.log_silent_s:.0f} s ago"
        rows.append(
            [
                item.instance,
                item.zone,
                item.state,
                str(item.config_version),
                silent,
                ", ".join(item.unseen),
            ]
        )
    head = ["Instance", "Zone", "State", "Configuration", "Log answered", "Does not hear"]
    return _table(head, rows)


def _table(head: list[str], rows: list[list[str]], classes: list[str] | None = None) -> str:
    """Write a table."""
    cells = "".join(f"<th>{escape(text)}</th>" for text in head)
    lines = [f"<tr>{cells}</tr>"]
    for place, row in enumerate(rows):
        name = classes[place] if classes else ""
        cells = "".join(f"<td>{escape(text)}</td>" for text in row)
        lines.append(f'<tr class="{name}">{cells}</tr>')
    return f'<div class="wrap"><table>{"".join(lines)}</table></div>'


def _picture(events: tuple[Event, ...], lanes: list[str]) -> str:
    """Draw events as dots, one lane for each process."""
    if not events:
        return "<p>No events.</p>"
    first = stamp_wall_s(events[0].stamp)
    span = max(stamp_wall_s(events[-1].stamp) - first, 0.001)
    height = _LANE_PX * (len(lanes) + 1)
    total = _LEFT_PX + _WIDTH_PX + 20
    marks = []
    for row, name in enumerate(lanes):
        y = _LANE_PX * (row + 1)
        marks.append(f'<text x="4" y="{y + 5}" font-size="13">{escape(name)}</text>')
        marks.append(
            f'<line x1="{_LEFT_PX}" y1="{y}" x2="{_LEFT_PX + _WIDTH_PX}" y2="{y}" stroke="#bbb"/>'
        )
    for event in events:
        y = _LANE_PX * (lanes.index(event.instance) + 1)
        x = _LEFT_PX + _WIDTH_PX * (stamp_wall_s(event.stamp) - first) / span
        label = escape(f"{event.name} {event.cause.job} {event.text}")
        marks.append(
            f'<circle cx="{x:.1f}" cy="{y}" r="5" fill="#2a6f97" fill-opacity=".7">'
            f"<title>{label}</title></circle>"
        )
    drawing = "".join(marks)
    return (
        f'<div class="wrap"><svg viewBox="0 0 {total} {height}" width="{total}" '
        f'height="{height}" role="img">{drawing}</svg></div>'
        f"<p>{len(events)} events over {span:.3f} s.</p>"
    )


def _document(title: str, body: str, *, refresh: bool) -> str:
    """Write a whole document."""
    again = f'<meta http-equiv="refresh" content="{_REFRESH_S}">' if refresh else ""
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width,initial-scale=1">'
        f"{again}<title>{escape(title)}</title><style>{_STYLE}</style></head>"
        f"<body>{body}</body></html>"
    )


def _clock(at_s: float, *, exact: bool = False) -> str:
    """Write a time of day."""
    text = time.strftime("%H:%M:%S", time.localtime(at_s))
    return f"{text}.{int(at_s * 1000) % 1000:03}" if exact else text
