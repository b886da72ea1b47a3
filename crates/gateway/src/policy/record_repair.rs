//! Decides what becomes of the record of a primary after the store has come back from an older copy.
//!
//! The copy may name a former primary, and may lack a change in whose course a promotion was
//! ordered. An order is only sent after all hosts were asked to stop using the primary and the
//! holder's record was written, so the hosts together know of each change that matters, as long as
//! all of them answer and none has ended.

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;

use crate::model::host_knowledge::HostKnowledge;
use crate::model::primary_record::PrimaryRecord;
use crate::model::store_revision::Era;

/// State of a member, as far as it answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    pub member: MemberId,
    pub primary: bool,
    pub term: Term,
}

/// What is known when a record is to be repaired.
#[derive(Debug, Clone, Default)]
pub struct Situation {
    /// Present era of the store.
    pub era: Era,
    /// The record that the store holds, if any.
    pub restored: Option<PrimaryRecord>,
    /// Answer of each registered host, with this one.
    pub hosts: Vec<Option<HostKnowledge>>,
    /// Whether a process that may have held a change ended recently.
    pub has_ended_hosts: bool,
    /// Whether no order of a former era can be sent or take effect any more. The members are asked
    /// then.
    pub settled: bool,
    /// Answer of each known member.
    pub members: Vec<Option<MemberReport>>,
}

/// What to do with the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Repair {
    /// Record this primary.
    Record { primary: MemberId, term: Term },
    /// Continue a change. If `forgotten`, a promotion may have been ordered that no host that
    /// answers knows of, so the change must end with a promoted member.
    Continue {
        primary: MemberId,
        candidate: Option<MemberId>,
        forgotten: bool,
    },
    /// Wait until the situation is settled.
    Wait,
}

/// Decides about a record that came back from a copy, or that was lost with what the store forgot.
pub fn decide(situation: &Situation) -> Repair {
    let newest = newest_record(situation);
    if let Some((record, _)) = newest
        && let Some(change) = &record.change
    {
        // A holder that answers knows each member that it has ordered to be promoted.
        let answered = hosts(situation)
            .any(|h| h.host == change.holder && h.incarnation == change.incarnation);
        return Repair::Continue {
            primary: record.primary.clone(),
            candidate: change.candidate.clone(),
            forgotten: !answered,
        };
    }
    let complete = !situation.has_ended_hosts && situation.hosts.iter().all(Option::is_some);
    if let Some((record, revision)) = newest
        && complete
        && hosts(situation).all(|h| is_unchanged(h, situation.era, revision))
    {
        return Repair::Record {
            primary: record.primary.clone(),
            term: record.term,
        };
    }
    if !situation.settled {
        return Repair::Wait;
    }
    let known = newest.map(|(record, _)| record);
    if let Some(leader) = leader(situation, known.map_or(0, |r| r.term)) {
        return Repair::Record {
            primary: leader.member.clone(),
            term: leader.term,
        };
    }
    match known.or(situation.restored.as_ref()) {
        Some(record) => Repair::Continue {
            primary: record.primary.clone(),
            candidate: record.change.as_ref().and_then(|c| c.candidate.clone()),
            forgotten: true,
        },
        None => Repair::Wait,
    }
}

fn hosts(situation: &Situation) -> impl Iterator<Item = &HostKnowledge> {
    situation.hosts.iter().flatten()
}

fn newest_record(situation: &Situation) -> Option<(&PrimaryRecord, Revision)> {
    let records = hosts(situation).filter_map(|h| h.record.as_ref());
    let newest = records.max_by_key(|(_, revision)| *revision);
    newest.map(|(record, revision)| (record, *revision))
}

/// Whether a host has followed the records up to the present era and knows of no change after the
/// record with this revision.
fn is_unchanged(host: &HostKnowledge, era: Era, revision: Revision) -> bool {
    host.former_era.map(|former| former + 1) == Some(era) && host.blocked < revision
}

/// The member that leads with a term that no member exceeds, if all have answered.
fn leader(situation: &Situation, least: Term) -> Option<&MemberReport> {
    let members: Option<Vec<&MemberReport>> =
        situation.members.iter().map(Option::as_ref).collect();
    let members = members?;
    let highest = members.iter().map(|m| m.term).max()?;
    let mut leaders = members.into_iter().filter(|m| m.primary);
    leaders.find(|m| m.term == highest && m.term >= least)
}
