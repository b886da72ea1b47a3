//! Invariants that hold at all times, and those that hold once all faults have ended.

use std::time::Duration;

use magnoliahatch_core::role::Role;

use crate::model::Entry;
use crate::model::Member;
use crate::simulation::Simulation;

impl Simulation {
    /// Records the entries that the primaries report as confirmed, and checks that all primaries
    /// agree on them and that none was written after a majority had granted a newer term.
    pub(crate) fn check_confirmed(&mut self) {
        for member in self.members.iter().filter(|m| m.up) {
            let confirmed = &member.log[..member.confirmed()];
            let common = confirmed.len().min(self.confirmed.len());
            assert_eq!(
                confirmed[..common],
                self.confirmed[..common],
                "two primaries confirmed different entries"
            );
            let length = self.confirmed_lengths.entry(member.term).or_default();
            *length = confirmed.len().max(*length);
            if confirmed.len() > common {
                self.confirmed = confirmed.to_vec();
            }
            // A later primary may inherit such an entry and confirm it, but the primary of the
            // entry's own term must not.
            let late_confirmed =
                |entry: &&Entry| entry.0 == member.term && confirmed.contains(entry);
            assert_eq!(
                self.late_writes.iter().find(late_confirmed),
                None,
                "an old primary confirmed an entry written after a majority granted a newer term"
            );
        }
    }

    /// Ends all faults and runs the group until it is stable. It must then have one primary that
    /// all members follow, and the primary's next entry must be confirmed.
    pub(crate) fn settle(&mut self) {
        for at in 0..self.members.len() {
            if !self.members[at].up {
                self.members[at].restart();
            }
        }
        for round in 0..400 {
            self.deliver_all();
            let newest = self.members.iter().map(|m| m.term).max().expect("members");
            let is_current_primary = |m: &Member| m.role == Role::Primary && m.term == newest;
            let needed = !self.members.iter().any(is_current_primary);
            if !needed && round > 3 && self.members.iter().all(|m| m.term == newest) {
                break;
            }
            for at in 0..self.candidates.len() {
                let candidate = &mut self.candidates[at];
                candidate.election.on_term(newest);
                let now = candidate.now;
                candidate
                    .election
                    .set_primary_needed(needed, Duration::ZERO, now);
                self.tick(at, 50 + 7 * at as u64);
                self.deliver_all();
                self.repair(at);
                self.deliver_all();
            }
        }
        let primary = self.members.iter().position(|m| m.role == Role::Primary);
        let primary = primary.expect("no primary after all faults have ended");
        self.write(primary);
        for _ in 0..20 {
            for at in 0..self.members.len() {
                self.pull(at);
            }
            self.deliver_all();
        }
        self.check_confirmed();
        let log = &self.members[primary].log;
        for (at, member) in self.members.iter().enumerate() {
            assert_eq!(
                &member.log, log,
                "the log of m{at} differs from the primary's"
            );
        }
        assert_eq!(self.members[primary].confirmed(), log.len());
        assert!(
            log.starts_with(&self.confirmed),
            "a confirmed entry was lost"
        );
    }
}
