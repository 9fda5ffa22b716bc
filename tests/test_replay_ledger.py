"""The file format of the replay's ledger, and the rules of the replay's guard."""

from __future__ import annotations

from gatebank.capture.records import Exchange
from gatebank.proxy.resp2 import codec as resp
from gatebank.replay import entries
from gatebank.replay.entries import EntryKind, LedgerEntry
from gatebank.replay.errors import LedgerDamagedError, TargetRefusedError
from gatebank.replay.guard import Guard
from gatebank.replay.section import Target
from gatebank.replay.sockets import interpret_reply


def test_damaged_ledger_is_refused_and_truncated_ledger_keeps_complete_entries() -> None:
    """A ledger with any changed byte is refused; a ledger truncated anywhere keeps its complete entries.

    A changed byte must not permit the replay to send a payment a second time.
    """
    contents = entries.LedgerContents(b"n" * 16)
    names = [bytes([number]) * 24 for number in range(1, 4)]
    data = entries.encode_header(contents.name)
    for name in names:
        data += contents.add(LedgerEntry(EntryKind.ENTERED, name, 5))
    data += contents.add(LedgerEntry(EntryKind.ANSWERED, names[0], 6, "satisfied"))
    for at in range(len(data)):
        for flip in (0x01, 0x80, data[at]):  # The last value changes the byte to zero.
            if not flip:
                continue
            damaged = data[:at] + bytes([data[at] ^ flip]) + data[at + 1 :]
            try:
                found = entries.decode_ledger(damaged)
            except LedgerDamagedError:
                continue
            raise AssertionError((at, flip, found.entries))
    for size in range(len(data)):
        found = entries.decode_ledger(data[:size])
        complete = max(0, (size - entries.HEADER.size) // entries.ENTRY.size)
        assert set(found.entries) == set(names[:complete])
        assert found.size <= size
    # Only requests with freed names may be sent again.
    reopened = entries.decode_ledger(data + contents.add(LedgerEntry(EntryKind.FREED, names[1], 7)))
    assert [reopened.state_of(name) for name in names] == ["replayed", None, "unsure"]


def test_guard_applies_each_rule() -> None:
    """The guard withholds incomplete requests and requests without a body, and refuses targets in service.

    Each of these checks fails if the guard lacks the rule.
    """

    class EmptyLedgerView:
        def state_of(self, name: bytes) -> str | None:
            return None

    def exchange_of(arguments: list[bytes], is_complete: bool = True) -> Exchange:
        exchange = Exchange(1, "c:1", "10.0.0.1:1", "", arguments, is_complete, 1, 1)
        exchange.parse_parameters()
        return exchange

    pay = exchange_of([b"Q.DO", b"k", b"i", b"c=pay,d=5", b"b"])
    guard = Guard([Target(address="127.0.0.1:1", rehearsal=True)], "127.0.0.1:1", set())
    assert not guard.verdict(pay, EmptyLedgerView()).withheld
    assert len(guard.verdict(pay, EmptyLedgerView()).names) == 1
    assert (
        guard.verdict(exchange_of(pay.arguments, is_complete=False), EmptyLedgerView()).withheld
        == "not_whole"
    )
    assert guard.verdict(exchange_of(pay.arguments[:4]), EmptyLedgerView()).withheld == "no_body"
    # The command marks the request as idempotent, but the protocol has no such command with a body: the
    # request is therefore treated as having an effect.
    assert guard.verdict(exchange_of([b"Q.ASK", *pay.arguments[1:]]), EmptyLedgerView()).names
    for live, address in (({"127.0.0.1:1"}, "127.0.0.1:1"), ({"[::1]:1"}, "[0:0::1]:1")):
        try:
            Guard([Target(address=address, rehearsal=True)], address, live)
        except TargetRefusedError:
            continue
        raise AssertionError("the guard must refuse a target in service")
    assert interpret_reply(resp.Reply("*", [None, None, None])) == ("broken_off", None)
