"""The names of timers on the simulator's wire, which must match the names in existing recordings."""

from __future__ import annotations

from gatebank.actions import EjectionTimer, RequestTimer, Tick, Timer, WatchTimer

TICK = "beat"
WATCH = "follow"
EJECTION = "probe"


def timer_name(timer: Timer) -> str:
    """Return the name of a timer.

    >>> timer_name(Tick()), timer_name(EjectionTimer(3)), timer_name(RequestTimer(17, 4))
    ('beat', 'probe 3', '17 4')
    """
    match timer:
        case Tick():
            return TICK
        case WatchTimer():
            return WATCH
        case EjectionTimer(endpoint):
            return f"{EJECTION} {endpoint}"
        case RequestTimer(request, generation):
            return f"{request} {generation}"


def timer_from_name(name: str) -> Timer:
    """Return the timer with a name made by `timer_name`.

    Raises:
        ValueError: the name is not a timer's name.

    >>> [timer_from_name(name) for name in ("follow", "probe 3", "17 4")]
    [WatchTimer(), EjectionTimer(endpoint=3), RequestTimer(request=17, generation=4)]
    """
    if name == TICK:
        return Tick()
    if name == WATCH:
        return WatchTimer()
    first, _, second = name.partition(" ")
    if first == EJECTION:
        return EjectionTimer(int(second))
    return RequestTimer(int(first), int(second))
