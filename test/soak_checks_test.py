"""Tests of the soak's checks: each finds the fault planted for it, and nothing
in a faultless record."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "soak"))

import checks  # noqa: E402
import clients  # noqa: E402
import servers  # noqa: E402
import soak  # noqa: E402

ACCOUNT = "club"
INSTANCE = "127.0.0.1:8227"


def attempt(ident="00000000000000aa", kind="once", **fields):
    request = {"stream": "POST /draft/a", "once": "POST /ballot/x",
               "again": "GET /added-0/z"}[kind]
    out = clients.Attempt(ident, kind, request, b"body", "key", INSTANCE)
    out.sent, out.deadline, out.ended = 100.0, 108.0, 101.0
    out.status, out.sealed, out.complete = 200, True, True
    out.answered_id = ident
    out.answer = checks.expected_answer(out)
    for name, value in fields.items():
        setattr(out, name, value)
    return out


def run(of_attempt, server="i-1", **fields):
    out = servers.Run(of_attempt.ident, server, "pool", of_attempt.request,
                      of_attempt.body, ACCOUNT, 100.2, ended=100.5)
    for name, value in fields.items():
        setattr(out, name, value)
    return out


def always_undisturbed(*_):
    return True


def never_undisturbed(*_):
    return False


class SoakChecksTest(unittest.TestCase):
    def test_faultless_record_has_no_findings(self):
        for kind in ("stream", "once", "again"):
            a = attempt(kind=kind)
            runs = [run(a)]
            self.assertEqual([], checks.mixed_answers([a]))
            self.assertEqual([], checks.run_twice([a], runs))
            self.assertEqual([], checks.refused_but_run([a], runs))
            self.assertEqual([], checks.not_asked([a], runs, ACCOUNT))
            self.assertEqual([], checks.bad_paths(runs))
            self.assertEqual([], checks.unanswered([a], always_undisturbed))
            self.assertEqual([], checks.denied([a], ()))

    def test_finds_answer_of_another_request(self):
        a = attempt(answered_id="00000000000000bb")
        self.assertEqual(1, len(checks.mixed_answers([a])))

    def test_finds_wrong_body_and_missing_seal(self):
        self.assertEqual(1, len(checks.mixed_answers([attempt(answer=b"x")])))
        self.assertEqual(1, len(checks.mixed_answers([attempt(sealed=False)])))

    def test_finds_cut_stream_that_looks_complete(self):
        a = attempt(kind="stream")
        a.answer = a.answer[:-10]
        self.assertEqual(1, len(checks.mixed_answers([a])))
        a.complete = False
        self.assertEqual([], checks.mixed_answers([a]))

    def test_finds_missing_event_in_cut_stream(self):
        a = attempt(kind="stream", complete=False)
        pieces = [servers.event_bytes(a.ident, n) for n in (1, 3)]
        a.answer = b"".join(pieces)
        self.assertEqual(1, len(checks.mixed_answers([a])))

    def test_finds_non_idempotent_call_that_ran_twice(self):
        a = attempt()
        runs = [run(a), run(a, "i-2")]
        self.assertEqual(1, len(checks.run_twice([a], runs)))
        again = attempt(kind="again")
        self.assertEqual([], checks.run_twice([again], [run(again)] * 2))

    def test_finds_refused_request_that_ran(self):
        a = attempt(status=503, sealed=False)
        self.assertEqual(1, len(checks.refused_but_run([a], [run(a)])))
        self.assertEqual([], checks.refused_but_run([a], []))

    def test_finds_run_without_matching_request(self):
        a = attempt()
        for bad in (run(a, attempt="other"), run(a, request="POST /else"),
                    run(a, account="another"), run(a, body=b"changed")):
            self.assertEqual(1, len(checks.not_asked([a], [bad], ACCOUNT)))

    def test_finds_token_on_path_with_missing_layers(self):
        bad = run(attempt(kind="stream"), tokens_on_bad_path=2)
        self.assertEqual(1, len(checks.bad_paths([bad])))

    def test_finds_attempts_on_too_many_servers(self):
        attempts = [attempt(f"{i:016x}", "again") for i in range(4)]
        runs = [run(a, f"i-{n}") for a in attempts for n in range(4)]
        self.assertEqual(1, len(checks.too_many_servers(attempts, runs, 2)))

    def test_finds_arrival_after_drain_period(self):
        a = attempt()
        closed = {"i-1": (100.0, 110.0)}
        late = [(101.0, "i-1", a.ident)]
        self.assertEqual(1, len(checks.after_drain(
            late, closed, always_undisturbed, lambda _: [INSTANCE])))
        self.assertEqual([], checks.after_drain(
            late, closed, never_undisturbed, lambda _: [INSTANCE]))

    def test_finds_request_after_announced_shutdown(self):
        told = attempt("00000000000000aa")
        late = attempt("00000000000000ab", sent=102.5)
        attempts = {a.ident: a for a in (told, late)}
        announcements = [(100.3, "i-1", told.ident)]
        arrivals = [(102.6, "i-1", late.ident)]
        self.assertEqual(1, len(checks.after_announcement(
            announcements, arrivals, attempts, always_undisturbed)))
        self.assertEqual([], checks.after_announcement(
            announcements, arrivals, attempts, never_undisturbed))
        self.assertEqual([], checks.after_announcement(
            announcements, [(102.6, "i-2", late.ident)], attempts,
            always_undisturbed))
        late.sent = 102.2
        self.assertEqual([], checks.after_announcement(
            announcements, arrivals, attempts, always_undisturbed))

    def test_finds_requests_during_pause(self):
        told = attempt()
        sent = [attempt(f"{i:016x}", "again") for i in range(3)]
        attempts = {a.ident: a for a in [told, *sent]}
        pauses = [(100.0, "i-1", told.ident, 2.0)]
        arrivals = [(101.0 + i / 10, "i-1", a.ident)
                    for i, a in enumerate(sent)]
        self.assertEqual(1, len(checks.during_pause(
            pauses, arrivals, attempts, always_undisturbed)))
        self.assertEqual([], checks.during_pause(
            pauses, arrivals[:2], attempts, always_undisturbed))
        self.assertEqual([], checks.during_pause(
            [(99.0, "i-1", told.ident, 2.0)], arrivals, attempts,
            always_undisturbed))

    def test_finds_missing_answer_at_deadline(self):
        a = attempt(status=None, complete=False, ended=108.5)
        self.assertEqual(1, len(checks.unanswered([a], always_undisturbed)))
        self.assertEqual([], checks.unanswered([a], never_undisturbed))

    def test_ignores_missing_answer_on_silenced_connection(self):
        a = attempt(status=None, complete=False, ended=108.5, silenced=True)
        self.assertEqual([], checks.unanswered([a], always_undisturbed))

    def test_finds_request_cut_by_planned_stop(self):
        a = attempt(complete=False, ended=101.0)
        stops = {INSTANCE: [(99.5, 104.0)]}
        self.assertEqual(1, len(checks.lost_around_stop(
            [a], stops, always_undisturbed, set())))
        self.assertEqual([], checks.lost_around_stop(
            [a], stops, never_undisturbed, set()))
        self.assertEqual([], checks.lost_around_stop(
            [a], stops, always_undisturbed, {a.ident}))

    def test_finds_work_after_client_left(self):
        attempts = [attempt(f"{i:016x}", "stream", client_left=True)
                    for i in range(5)]
        runs = [run(a, ended=a.ended + 2) for a in attempts]
        self.assertEqual(1, len(checks.work_after_client_left(
            attempts, runs, always_undisturbed)))

    def test_finds_configuration_not_applied_in_time(self):
        added = attempt(kind="again", status=404, sealed=False)
        changes = [(90.0, "/added-0/", True)]
        self.assertEqual(1, len(checks.stale_configuration(
            [added], [], changes, always_undisturbed)))
        removed = attempt(kind="again")
        changes = [(90.0, "/added-0/", False)]
        self.assertEqual(1, len(checks.stale_configuration(
            [removed], [run(removed)], changes, always_undisturbed)))

    def test_finds_valid_requests_denied(self):
        attempts = [attempt(f"{i:016x}", status=404, sealed=False)
                    for i in range(8)]
        self.assertEqual(1, len(checks.denied(attempts, ())))

    def test_finds_missing_recovery_after_faults(self):
        attempts = [attempt(f"{i:016x}", status=503, complete=True)
                    for i in range(40)]
        self.assertEqual(1, len(checks.not_recovered(attempts, 50.0)))

    def test_parallel_soaks_use_different_addresses(self):
        # CI's soak failed to bind its addresses while another one ran.
        first, second = soak.reserve_blocks(3), soak.reserve_blocks(3)
        try:
            self.assertEqual([3, 3], [len(first), len(second)])
            self.assertFalse(first.keys() & second.keys())
        finally:
            for reservation in [*first.values(), *second.values()]:
                reservation.close()


if __name__ == "__main__":
    unittest.main()
