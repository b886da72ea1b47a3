//! Single decisions about the duty.

use std::time::Duration;

use magnoliahatch_gateway::model::duty_record::DutyRecord;
use magnoliahatch_gateway::model::store_revision::in_era;
use magnoliahatch_gateway::model::usage_report::UsageReport;
use magnoliahatch_gateway::policy::usage_duty::CallOutcome;
use magnoliahatch_gateway::policy::usage_duty::DutySituation;
use magnoliahatch_gateway::policy::usage_duty::DutyStep;
use magnoliahatch_gateway::policy::usage_duty::UsageDuty;
use magnoliahatch_gateway::policy::usage_duty::WriteOutcome;

use crate::fleet::SETTINGS;

const START: Duration = Duration::from_secs(50);
const FIRST: DutySituation = DutySituation {
    rank: Some(0),
    holder_ended: false,
    stopping: false,
};

fn report(window: u64) -> UsageReport {
    let counts = [("org".to_owned(), 5)].into();
    UsageReport { window, counts }
}

fn record(holder: &str, sending: Option<u64>) -> DutyRecord {
    DutyRecord {
        holder: holder.to_owned(),
        incarnation: 1,
        released: false,
        reported: Some(6),
        sending: sending.map(report),
        era: 0,
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Reads the record every 100 ms until there is another step, and returns its time after `START`.
fn first_step(duty: &mut UsageDuty, situation: &DutySituation, stored: &DutyRecord) -> Duration {
    for tick in 0..200 {
        let after = millis(100 * tick);
        match duty.next(START + after, situation, |_| None) {
            DutyStep::Read => duty.on_read(Some((4, stored.clone())), START + after),
            DutyStep::Wait => {}
            _ => return after,
        }
    }
    panic!("no step in 20 s");
}

/// A duty of `host-0` that this process has just written.
fn holder(sending: Option<u64>) -> UsageDuty {
    let mut duty = UsageDuty::new("host-0".to_owned(), 1, SETTINGS);
    duty.on_read(None, START);
    let record = record("host-0", sending);
    duty.on_write(record, WriteOutcome::Written(9), START, START + millis(3));
    assert!(duty.is_holder());
    duty
}

/// Guards against a takeover while the last holder's call may still be on its way, and against one
/// that waits longer than needed once its process has ended.
#[test]
fn ended_holder_is_succeeded_after_the_lease() {
    let stored = record("host-9", Some(7));
    let ended = DutySituation {
        holder_ended: true,
        ..FIRST
    };
    let mut duty = UsageDuty::new("host-0".to_owned(), 1, SETTINGS);
    let lease = SETTINGS.lease + millis(1000);
    let in_time = |taken: Duration, due: Duration| taken >= due && taken <= due + millis(100);
    assert!(in_time(first_step(&mut duty, &ended, &stored), lease));
    let mut duty = UsageDuty::new("host-0".to_owned(), 1, SETTINGS);
    let silent = first_step(&mut duty, &FIRST, &stored);
    assert!(in_time(silent, lease + SETTINGS.window));
    let released = DutyRecord {
        released: true,
        ..stored
    };
    let mut duty = UsageDuty::new("host-0".to_owned(), 1, SETTINGS);
    assert!(in_time(first_step(&mut duty, &FIRST, &released), lease));
}

/// Guards against a takeover that drops or changes the report which the last holder may have sent.
#[test]
fn takeover_keeps_the_report_in_progress() {
    let stored = record("host-9", Some(7));
    let mut duty = UsageDuty::new("host-0".to_owned(), 1, SETTINGS);
    first_step(&mut duty, &FIRST, &stored);
    let now = START + Duration::from_secs(30);
    duty.on_read(Some((4, stored)), now);
    let step = duty.next(now, &FIRST, |_| Some(report(8)));
    let kept = record("host-0", Some(7));
    let DutyStep::Write { expected, record } = step else {
        panic!("{step:?}");
    };
    assert_eq!((expected, &record), (Some(4), &kept));
    duty.on_write(record, WriteOutcome::Written(5), now, now + millis(4));
    let step = duty.next(now + millis(4), &FIRST, |_| Some(report(8)));
    let (report, token) = (report(7), 5);
    assert_eq!(step, DutyStep::Send { report, token });
}

/// Guards against a call with a token that is so old that another host may have taken over.
#[test]
fn call_follows_a_recent_write_only() {
    let duty = holder(Some(7));
    let sent = |after| {
        matches!(
            duty.next(START + after, &FIRST, |_| None),
            DutyStep::Send { .. }
        )
    };
    assert!(sent(millis(999)));
    assert!(!sent(millis(1000)));
    let step = duty.next(START + millis(1000), &FIRST, |_| None);
    let record = record("host-0", Some(7));
    let expected = Some(9);
    assert_eq!(step, DutyStep::Write { expected, record });
}

/// Guards against a call after a write whose answer was lost: the record may name another holder.
#[test]
fn record_is_read_and_written_again_after_a_write_without_an_answer() {
    let mut duty = holder(None);
    let now = START + millis(2000);
    let next = record("host-0", Some(7));
    duty.on_write(next.clone(), WriteOutcome::Unclear, now, now);
    assert_eq!(duty.next(now, &FIRST, |_| None), DutyStep::Read);
    duty.on_read(Some((10, next.clone())), now);
    let step = duty.next(now, &FIRST, |_| None);
    let (expected, record) = (Some(10), next);
    assert_eq!(step, DutyStep::Write { expected, record });
}

/// Guards against a report whose counts change between two attempts, and against a later window that
/// is sent before an earlier one was accepted.
#[test]
fn report_is_repeated_until_it_is_accepted() {
    let mut duty = holder(Some(7));
    let mut now = START + millis(10);
    duty.on_call(7, CallOutcome::Refused, now, now);
    let wait = duty.next(now + millis(249), &FIRST, |_| Some(report(8)));
    assert_eq!(wait, DutyStep::Wait);
    now += millis(250);
    let step = duty.next(now, &FIRST, |_| Some(report(8)));
    let token = 9;
    assert_eq!(
        step,
        DutyStep::Send {
            report: report(7),
            token
        }
    );
    duty.on_call(7, CallOutcome::Accepted, now, now);
    now += SETTINGS.call_interval;
    let step = duty.next(now, &FIRST, |last| {
        assert_eq!(last, Some(7));
        Some(report(8))
    });
    let record = DutyRecord {
        reported: Some(7),
        ..record("host-0", Some(8))
    };
    let expected = Some(9);
    assert_eq!(step, DutyStep::Write { expected, record });
}

/// Guards against a call without an answer that is executed after a call with a higher token, since
/// the platform is slow.
#[test]
fn token_does_not_change_while_a_call_may_still_be_executed() {
    let mut duty = holder(Some(7));
    let sent = START + millis(900);
    duty.on_call(7, CallOutcome::Unknown, sent, sent + millis(1));
    let step = |after| duty.next(sent + after, &FIRST, |_| None);
    assert_eq!(step(millis(1199)), DutyStep::Wait);
    assert!(matches!(step(millis(1200)), DutyStep::Write { .. }));
}

/// Guards against more calls than the platform allows while it is down.
#[test]
fn pauses_grow_up_to_one_second() {
    let mut duty = holder(Some(7));
    let mut now = START;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        duty.on_call(7, CallOutcome::Refused, now, now);
        let start = now;
        while duty.next(now, &FIRST, |_| None) == DutyStep::Wait {
            now += millis(10);
        }
        pauses.push((now - start).as_millis());
        // The write between two calls does not shorten the pauses.
        let record = record("host-0", Some(7));
        duty.on_write(record, WriteOutcome::Written(20), now, now);
    }
    assert_eq!(pauses, [250, 500, 1000, 1000, 1000]);
}

/// Guards against a host that goes on with the duty while it shuts down, and against a successor
/// that repeats nothing although the last report has no answer.
#[test]
fn holder_that_stops_gives_the_duty_up() {
    let stopping = DutySituation {
        rank: None,
        stopping: true,
        ..FIRST
    };
    let mut duty = holder(Some(7));
    let step = duty.next(START, &stopping, |_| Some(report(8)));
    let released = DutyRecord {
        released: true,
        ..record("host-0", Some(7))
    };
    let expected = Some(9);
    let record = released.clone();
    assert_eq!(step, DutyStep::Write { expected, record });
    duty.on_write(released, WriteOutcome::Written(11), START, START);
    assert!(!duty.is_holder());
    let later = START + Duration::from_secs(60);
    assert_eq!(duty.next(later, &stopping, |_| None), DutyStep::Wait);
}

/// A record as it comes back in the second era: it was written in the first.
fn restored(holder: &str, sending: Option<u64>) -> (u64, DutyRecord) {
    let record = DutyRecord {
        era: 1,
        ..record(holder, sending)
    };
    (in_era(2, 40), record)
}

/// The time after `START` at which a host that sees the second era at `START` writes the record, and
/// what it writes. The record that came back names `host-9`.
fn write_after_restore(
    duty: &mut UsageDuty,
    situation: &DutySituation,
) -> (Duration, Option<u64>, DutyRecord) {
    for tick in 0..200 {
        let after = millis(100 * tick);
        let now = START + after;
        match duty.next(now, situation, |_| None) {
            DutyStep::Read => {
                duty.on_era(2, now);
                duty.on_read(Some(restored("host-9", Some(7))), now);
            }
            DutyStep::Wait => {}
            DutyStep::Write { expected, record } => return (after, expected, record),
            step => panic!("{step:?}"),
        }
    }
    panic!("no write in 20 s");
}

/// Guards against a lower token after a higher one: a holder whose record came back sends nothing before
/// the calls of a later holder, which may not have heard of the restore, are over.
#[test]
fn record_that_came_back_gives_no_duty() {
    let mut duty = UsageDuty::new("host-9".to_owned(), 1, SETTINGS);
    duty.on_era(1, START - millis(5000));
    duty.on_read(
        Some((in_era(1, 30), restored("host-9", None).1)),
        START - millis(5000),
    );
    assert!(duty.is_holder());
    duty.on_era(2, START);
    duty.on_read(Some(restored("host-9", Some(7))), START);
    assert!(!duty.is_holder());
    let (after, expected, record) = write_after_restore(&mut duty, &FIRST);
    assert!(after >= SETTINGS.lease + millis(1000));
    assert_eq!((expected, record.era), (Some(in_era(2, 40)), 2));
}

/// Guards against a window that is reported twice with different counts: the last holder goes on from
/// what it has sent, not from the record that came back.
#[test]
fn holder_goes_on_from_its_own_record_after_a_restore() {
    let mut duty = UsageDuty::new("host-0".to_owned(), 1, SETTINGS);
    duty.on_era(1, START - millis(5000));
    let own = DutyRecord {
        era: 1,
        reported: Some(8),
        ..record("host-0", Some(9))
    };
    duty.on_write(own, WriteOutcome::Written(in_era(1, 60)), START, START);
    duty.on_call(9, CallOutcome::Accepted, START, START);
    duty.on_era(2, START);
    let (after, _, record) = write_after_restore(&mut duty, &FIRST);
    assert!(after >= SETTINGS.lease + millis(1000));
    assert_eq!(record.last_window(), Some(9));
    duty.on_write(
        record,
        WriteOutcome::Written(in_era(2, 41)),
        START,
        START + after,
    );
    assert!(duty.is_holder());
    let mut asked = None;
    duty.next(START + millis(9000), &FIRST, |last| {
        asked = last;
        None
    });
    assert_eq!(asked, Some(9));
}

/// Guards against a record that is gone with what the store forgot, and that is taken for one that was
/// never written.
#[test]
fn record_that_is_gone_is_not_created_at_once() {
    let mut duty = UsageDuty::new("host-0".to_owned(), 1, SETTINGS);
    duty.on_era(1, START - millis(5000));
    let other = DutyRecord {
        era: 1,
        ..record("host-9", Some(9))
    };
    duty.on_read(Some((in_era(1, 60), other)), START - millis(5000));
    for tick in 0..200 {
        let now = START + millis(100 * tick);
        match duty.next(now, &FIRST, |_| None) {
            DutyStep::Read => {
                duty.on_era(2, now);
                duty.on_read(None, now);
            }
            DutyStep::Write { expected, record } => {
                assert!(now - START >= SETTINGS.lease + millis(1000) + SETTINGS.window);
                assert_eq!((expected, record.last_window()), (None, Some(9)));
                return;
            }
            _ => {}
        }
    }
    panic!("no write in 20 s");
}
