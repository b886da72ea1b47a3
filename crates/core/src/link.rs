//! What a pooled connection currently carries, and what it needs before it serves a session.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::OrganisationId;
use crate::session::Session;
use crate::session::TxStatus;

/// Prepared statements kept on one connection.
const STATEMENTS_LIMIT: usize = 256;

/// State of a pooled connection.
#[derive(Debug, Default)]
pub struct Link {
    /// Organisation whose authorization is set; none if it is not known.
    organisation: Option<OrganisationId>,
    /// Variables that differ from the default; none if they are not known.
    variables: Option<BTreeMap<String, String>>,
    statements: VecDeque<String>,
    /// The connection saw a timeout, a cancel or a protocol error.
    tainted: bool,
}

impl Link {
    /// State of a connection that was just opened.
    pub fn fresh() -> Self {
        Self {
            variables: Some(BTreeMap::new()),
            ..Self::default()
        }
    }

    pub fn organisation(&self) -> Option<&str> {
        self.organisation.as_deref()
    }

    /// Statements that must succeed before the connection serves the session, in order.
    pub fn needs(&self, organisation: &str, session: &Session) -> Vec<String> {
        let mut needs = Vec::new();
        let same = self.organisation.as_deref() == Some(organisation);
        let empty = BTreeMap::new();
        let current = match &self.variables {
            Some(variables) if same || variables.is_empty() => variables,
            _ => {
                needs.push("RESET ALL".to_owned());
                &empty
            }
        };
        if !same {
            let name = organisation.replace('"', "\"\"");
            needs.push(format!("SET SESSION AUTHORIZATION \"{name}\""));
        }
        let wanted = session.variables();
        for name in current.keys().filter(|name| !wanted.contains_key(*name)) {
            needs.push(format!("RESET {name}"));
        }
        for (name, value) in wanted {
            if current.get(name) != Some(value) {
                needs.push(format!("SET {name} = {value}"));
            }
        }
        needs
    }

    /// What `needs` asked for was sent; nothing is known until it has succeeded.
    pub fn on_prepare(&mut self) {
        self.organisation = None;
        self.variables = None;
    }

    /// The connection carries the session's state: after set-up, and after each return to idle.
    pub fn on_ready(&mut self, organisation: &str, session: &Session) {
        if self.organisation.as_deref() != Some(organisation) {
            self.organisation = Some(organisation.to_owned());
        }
        if self.variables.as_ref() != Some(session.variables()) {
            self.variables = Some(session.variables().clone());
        }
    }

    /// Never returns the connection to the pool.
    pub fn taint(&mut self) {
        self.tainted = true;
    }

    /// Whether the connection may serve another session.
    pub fn reusable(&self, status: TxStatus) -> bool {
        status == TxStatus::Idle && !self.tainted
    }

    pub fn has_statement(&self, name: &str) -> bool {
        self.statements.iter().any(|known| known == name)
    }

    /// A statement is parsed on the connection; returns the one to close in its place.
    pub fn add_statement(&mut self, name: &str) -> Option<String> {
        self.statements.push_back(name.to_owned());
        (self.statements.len() > STATEMENTS_LIMIT)
            .then(|| self.statements.pop_front())
            .flatten()
    }

    /// A request failed: which of its statements were parsed is not known.
    pub fn remove_statement(&mut self, name: &str) {
        self.statements.retain(|known| known != name);
    }
}
