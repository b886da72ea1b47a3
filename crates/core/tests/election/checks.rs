//! What must hold at all times, and once all faults have ended.

use std::time::Duration;

use magnoliahatch_core::role::Role;

use crate::model::Entry;
use crate::model::Member;
use crate::world::World;

impl World {
    /// Notes what the primaries report as confirmed and checks it.
    pub(crate) fn check(&mut self) {
        for member in self.members.iter().filter(|m| m.up) {
            let confirmed = &member.log[..member.confirmed()];
            let common = confirmed.len().min(self.confirmed.len());
            assert_eq!(
                confirmed[..common],
                self.confirmed[..common],
                "two primaries confirmed different entries"
            );
            let length = self.lengths.entry(member.term).or_default();
            *length = confirmed.len().max(*length);
            if confirmed.len() > common {
                self.confirmed = confirmed.to_vec();
            }
            // A later primary may inherit and confirm such an entry; its own term may not.
            let late = |entry: &&Entry| entry.0 == member.term && confirmed.contains(entry);
            assert_eq!(
                self.late.iter().find(late),
                None,
                "an old primary confirmed what it wrote after a majority had moved on"
            );
        }
    }

    /// Ends all faults and lets the group come to rest: it must have one primary that everyone
    /// follows, and its next entry must be confirmed.
    pub(crate) fn settle(&mut self) {
        for at in 0..self.members.len() {
            if !self.members[at].up {
                self.members[at].restart();
            }
        }
        for round in 0..400 {
            self.drain();
            let newest = self.members.iter().map(|m| m.term).max().expect("members");
            let led = |m: &Member| m.role == Role::Primary && m.term == newest;
            let needed = !self.members.iter().any(led);
            if !needed && round > 3 && self.members.iter().all(|m| m.term == newest) {
                break;
            }
            for at in 0..self.candidates.len() {
                let candidate = &mut self.candidates[at];
                candidate.election.on_term(newest);
                let now = candidate.now;
                candidate.election.on_need(needed, Duration::ZERO, now);
                self.tick(at, 50 + 7 * at as u64);
                self.drain();
                self.repair(at);
                self.drain();
            }
        }
        let primary = self.members.iter().position(|m| m.role == Role::Primary);
        let primary = primary.expect("a primary after all faults have ended");
        self.write(primary);
        for _ in 0..20 {
            for at in 0..self.members.len() {
                self.pull(at);
            }
            self.drain();
        }
        self.check();
        let log = &self.members[primary].log;
        for (at, member) in self.members.iter().enumerate() {
            assert_eq!(&member.log, log, "m{at} differs from the primary");
        }
        assert_eq!(self.members[primary].confirmed(), log.len());
        assert!(
            log.starts_with(&self.confirmed),
            "a confirmed entry is lost"
        );
    }
}
