//! Session state of a pooled connection, and the statements that prepare it for another session.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::OrganisationId;
use crate::session::Session;
use crate::session::TxStatus;

/// Maximum number of prepared statements kept on one connection.
const MAX_STATEMENTS: usize = 256;

/// Session state of a pooled connection.
#[derive(Debug, Default)]
pub struct ConnectionState {
    /// Organisation set as session authorization; `None` if unknown.
    organisation: Option<OrganisationId>,
    /// Session variables that differ from their defaults; `None` if unknown.
    variables: Option<BTreeMap<String, String>>,
    /// Names of the prepared statements, oldest first.
    statements: VecDeque<String>,
    /// Set after a timeout, a cancel or a protocol error; the connection is not reused.
    tainted: bool,
}

impl ConnectionState {
    /// Returns the state of a newly opened connection.
    pub fn fresh() -> Self {
        Self {
            variables: Some(BTreeMap::new()),
            ..Self::default()
        }
    }

    pub fn organisation(&self) -> Option<&str> {
        self.organisation.as_deref()
    }

    /// Returns the statements that must succeed, in this order, before the connection serves the
    /// session.
    pub fn setup_statements(&self, organisation: &str, session: &Session) -> Vec<String> {
        let mut needs = Vec::new();
        let same_organisation = self.organisation.as_deref() == Some(organisation);
        let empty = BTreeMap::new();
        let current = match &self.variables {
            Some(variables) if same_organisation || variables.is_empty() => variables,
            _ => {
                needs.push("RESET ALL".to_owned());
                &empty
            }
        };
        if !same_organisation {
            let name = organisation.replace('"', "\"\"");
            needs.push(format!("SET SESSION AUTHORIZATION \"{name}\""));
        }
        let target = session.variables();
        for name in current.keys().filter(|name| !target.contains_key(*name)) {
            needs.push(format!("RESET {name}"));
        }
        for (name, value) in target {
            if current.get(name) != Some(value) {
                needs.push(format!("SET {name} = {value}"));
            }
        }
        needs
    }

    /// Records that the statements from `needs` were sent. The state is unknown until they succeed.
    pub fn on_setup_sent(&mut self) {
        self.organisation = None;
        self.variables = None;
    }

    /// Records that the connection has the session's state. Called after setup and whenever the
    /// connection becomes idle.
    pub fn on_ready(&mut self, organisation: &str, session: &Session) {
        if self.organisation.as_deref() != Some(organisation) {
            self.organisation = Some(organisation.to_owned());
        }
        if self.variables.as_ref() != Some(session.variables()) {
            self.variables = Some(session.variables().clone());
        }
    }

    /// Prevents the connection from being returned to the pool.
    pub fn mark_unusable(&mut self) {
        self.tainted = true;
    }

    /// Whether the connection may serve another session.
    pub fn reusable(&self, status: TxStatus) -> bool {
        status == TxStatus::Idle && !self.tainted
    }

    pub fn has_statement(&self, name: &str) -> bool {
        self.statements.iter().any(|known| known == name)
    }

    /// Records that a statement was parsed on the connection. If there are then too many, returns
    /// the oldest one, which must be closed.
    pub fn add_statement(&mut self, name: &str) -> Option<String> {
        self.statements.push_back(name.to_owned());
        (self.statements.len() > MAX_STATEMENTS)
            .then(|| self.statements.pop_front())
            .flatten()
    }

    /// Forgets a statement of a failed request, for which it is unknown whether it was parsed.
    pub fn remove_statement(&mut self, name: &str) {
        self.statements.retain(|known| known != name);
    }
}
