//! Numbers of statements by kind.

use crate::model::statement_kind::StatementKind;

/// Numbers of statements of each kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindCounts {
    read: u32,
    write: u32,
    commit: u32,
}

impl KindCounts {
    pub fn total(&self) -> u32 {
        self.read + self.write + self.commit
    }

    pub fn add(&mut self, kind: StatementKind) {
        *self.count(kind) += 1;
    }

    pub fn remove(&mut self, kind: StatementKind) {
        let count = self.count(kind);
        *count = count.saturating_sub(1);
    }

    pub fn iter(&self) -> impl Iterator<Item = (StatementKind, u32)> {
        [
            (StatementKind::Read, self.read),
            (StatementKind::Write, self.write),
            (StatementKind::Commit, self.commit),
        ]
        .into_iter()
        .filter(|(_, count)| *count > 0)
    }

    fn count(&mut self, kind: StatementKind) -> &mut u32 {
        match kind {
            StatementKind::Read => &mut self.read,
            StatementKind::Write => &mut self.write,
            StatementKind::Commit => &mut self.commit,
        }
    }
}
