"""The replay's ledger and guard by themselves."""

from __future__ import annotations

from gatebank.capture.records import Exchange
from gatebank.proxy import resp
from gatebank.replay import entries
from gatebank.replay.entries import EntryKind, LedgerEntry
from gatebank.replay.errors import LedgerDamagedError, TargetRefusedError
from gatebank.replay.guard import Guard
from gatebank.replay.section import Target
from gatebank.replay.sockets import interpret_reply


def test_damaged_ledger_says_no_less() -> None:
    """Damage.

    Any one byte changed, the ledger refuses or says no less than before; any end cut off, it says what was
    whole. A flipped byte must never make a payout free again.
    """
    book = entries.LedgerBook(b"n" * 16)
    names = [bytes([number]) * 24 for number in range(1, 4)]
    data = entries.encode_header(book.name)
    for name in names:
        data += book.add(LedgerEntry(EntryKind.ENTERED, name, 5))
    data += book.add(LedgerEntry(EntryKind.ANSWERED, names[0], 6, "satisfied"))
    for at in range(len(data)):
        for flip in (0x01, 0x80, data[at]):  # the last makes it a zero
            if not flip:
                continue
            spoilt = data[:at] + bytes([data[at] ^ flip]) + data[at + 1 :]
            try:
                found = entries.decode_ledger(spoilt)
            except LedgerDamagedError:
                continue
            raise AssertionError((at, flip, found.entries))
    for size in range(len(data)):
        found = entries.decode_ledger(data[:size])
        whole = max(0, (size - entries.HEADER.size) // entries.ENTRY.size)
        assert set(found.entries) == set(names[:whole])
        assert found.size <= size
    # Freed entries may be sent again, and only these.
    again = entries.decode_ledger(data + book.add(LedgerEntry(EntryKind.FREED, names[1], 7)))
    assert [again.state_of(name) for name in names] == ["replayed", None, "unsure"]


def test_each_guard_rule_holds() -> None:
    """Verdicts.

    The guard by itself: each rule fails without its line.
    """

    class Empty:
        def state_of(self, name: bytes) -> str | None:
            return None

    def said(words: list[bytes], whole: bool = True) -> Exchange:
        one = Exchange(1, "c:1", "10.0.0.1:1", "", words, whole, 1, 1)
        one.parse_parameters()
        return one

    pay = said([b"Q.DO", b"k", b"i", b"c=pay,d=5", b"b"])
    guard = Guard([Target(address="127.0.0.1:1", rehearsal=True)], "127.0.0.1:1", set())
    assert not guard.verdict(pay, Empty()).withheld
    assert len(guard.verdict(pay, Empty()).names) == 1
    assert guard.verdict(said(pay.arguments, whole=False), Empty()).withheld == "not_whole"
    assert guard.verdict(said(pay.arguments[:4]), Empty()).withheld == "no_body"
    # Marked as rerunnable by its command, but with a body: no form that PROTOCOL knows, so exclusive.
    assert guard.verdict(said([b"Q.ASK", *pay.arguments[1:]]), Empty()).names
    for live, where in (({"127.0.0.1:1"}, "127.0.0.1:1"), ({"[::1]:1"}, "[0:0::1]:1")):
        try:
            Guard([Target(address=where, rehearsal=True)], where, live)
        except TargetRefusedError:
            continue
        raise AssertionError("a live target is refused")
    assert interpret_reply(resp.Reply("*", [None, None, None])) == ("broken_off", None)
