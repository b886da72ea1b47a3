//! Tests of the decision about a record of a primary that came back from a copy of the store.

use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;
use magnoliahatch_gateway::model::host_knowledge::HostKnowledge;
use magnoliahatch_gateway::model::primary_record::PrimaryChange;
use magnoliahatch_gateway::model::primary_record::PrimaryRecord;
use magnoliahatch_gateway::model::store_revision::in_era;
use magnoliahatch_gateway::policy::record_repair::MemberReport;
use magnoliahatch_gateway::policy::record_repair::Repair;
use magnoliahatch_gateway::policy::record_repair::Situation;
use magnoliahatch_gateway::policy::record_repair::decide;

const HOLDER: &str = "h1";

fn record(primary: &str, change: Option<PrimaryChange>) -> PrimaryRecord {
    PrimaryRecord {
        primary: primary.to_owned(),
        change,
        members: Vec::new(),
        era: 1,
        term: 1,
    }
}

fn change(candidate: Option<&str>) -> PrimaryChange {
    PrimaryChange {
        holder: HOLDER.to_owned(),
        incarnation: 7,
        candidate: candidate.map(str::to_owned),
        forgotten: false,
    }
}

/// A host that has the record of revision `known` of era 1.
fn host(name: &str, record: PrimaryRecord, known: Revision) -> Option<HostKnowledge> {
    Some(HostKnowledge {
        host: name.to_owned(),
        incarnation: 7,
        record: Some((record, in_era(1, known))),
        blocked: 0,
        former_era: Some(1),
    })
}

fn situation(hosts: Vec<Option<HostKnowledge>>) -> Situation {
    Situation {
        era: 2,
        restored: Some(record("m1", None)),
        hosts,
        ..Situation::default()
    }
}

fn report(member: &str, primary: bool, term: Term) -> Option<MemberReport> {
    Some(MemberReport {
        member: member.to_owned(),
        primary,
        term,
    })
}

fn recorded(primary: &str, term: Term) -> Repair {
    Repair::Record {
        primary: primary.to_owned(),
        term,
    }
}

fn continued(candidate: Option<&str>, forgotten: bool) -> Repair {
    Repair::Continue {
        primary: "m1".to_owned(),
        candidate: candidate.map(str::to_owned),
        forgotten,
    }
}

/// Guards against a drill in calm that costs callers the primary for the time in which a forgotten
/// order could take effect.
#[test]
fn record_holds_at_once_if_all_hosts_know_of_no_change() {
    let hosts = vec![
        host("h1", record("m1", None), 90),
        host("h2", record("m2", None), 100),
    ];
    assert_eq!(decide(&situation(hosts)), recorded("m2", 1));
}

/// Guards against a former primary that is used although a promotion was ordered: each sign that a
/// change may have been forgotten delays the decision.
#[test]
fn possible_change_is_waited_for() {
    let calm = || vec![host("h1", record("m1", None), 100)];
    let with = |other: Option<HostKnowledge>| {
        let mut hosts = calm();
        hosts.push(other);
        situation(hosts)
    };
    let known = || host("h2", record("m1", None), 100).expect("a host");
    let asked_to_stop = HostKnowledge {
        blocked: in_era(1, 105),
        ..known()
    };
    let started_since = HostKnowledge {
        record: None,
        former_era: None,
        ..known()
    };
    let was_cut_off = HostKnowledge {
        former_era: Some(0),
        ..known()
    };
    let ended = Situation {
        has_ended_hosts: true,
        ..situation(calm())
    };
    let unclear = [
        with(None),
        with(Some(asked_to_stop)),
        with(Some(started_since)),
        with(Some(was_cut_off)),
        ended,
        situation(vec![]),
    ];
    for situation in unclear {
        assert_eq!(decide(&situation), Repair::Wait, "{situation:?}");
    }
}

/// Guards against a change of which the store knows nothing and that is begun anew for another member.
#[test]
fn known_change_is_continued_with_its_candidate() {
    let changing = |candidate| record("m1", Some(change(candidate)));
    let hosts = |holder| {
        vec![
            host(holder, changing(Some("m2")), 106),
            host("h2", changing(None), 105),
            host("h3", record("m1", None), 100),
        ]
    };
    let repair = decide(&situation(hosts(HOLDER)));
    assert_eq!(repair, continued(Some("m2"), false));
    // Without an answer of the holder, it may have ordered another member since.
    let repair = decide(&situation(hosts("h4")));
    assert_eq!(repair, continued(Some("m2"), true));
}

/// Guards against a member that was promoted and is not used, and against a former primary that is used
/// beside it. A member that does not answer may be the one that was promoted.
#[test]
fn members_decide_once_no_order_can_take_effect() {
    let settled = |members| Situation {
        settled: true,
        members,
        ..situation(vec![None, host("h1", record("m1", None), 100)])
    };
    let promoted = vec![report("m1", true, 1), report("m2", true, 2)];
    assert_eq!(decide(&settled(promoted)), recorded("m2", 2));
    let unchanged = vec![report("m1", true, 1), report("m2", false, 1)];
    assert_eq!(decide(&settled(unchanged)), recorded("m1", 1));
    let deposed = vec![report("m1", true, 1), report("m2", false, 2)];
    let silent = vec![report("m1", true, 1), None];
    let leaderless = vec![report("m1", false, 1), report("m2", false, 1)];
    for members in [deposed, silent, leaderless] {
        let repair = decide(&settled(members.clone()));
        assert_eq!(repair, continued(None, true), "{members:?}");
    }
}
