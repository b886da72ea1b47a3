//! Session variables and the user in force.

use std::collections::BTreeMap;

/// Values of the session, which a rollback restores.
#[derive(Debug, Clone, PartialEq)]
struct Values {
    user: String,
    set: BTreeMap<String, String>,
}

/// Session variables and the user in force.
#[derive(Debug)]
pub(crate) struct Variables {
    /// Values of the startup message.
    initial: Values,
    current: Values,
    /// Values that COMMIT and ROLLBACK bring back while a transaction is open.
    committed: Option<Values>,
    rolled_back: Option<Values>,
}

impl Variables {
    pub(crate) fn new(user: String, options: BTreeMap<String, String>) -> Self {
        let initial = Values { user, set: options };
        Self {
            current: initial.clone(),
            initial,
            committed: None,
            rolled_back: None,
        }
    }

    pub(crate) fn begin(&mut self) {
        self.committed = Some(self.current.clone());
        self.rolled_back = Some(self.current.clone());
    }

    /// Ends a transaction; values set with LOCAL end with it.
    pub(crate) fn end(&mut self, commit: bool) {
        let kept = if commit {
            self.committed.take()
        } else {
            self.rolled_back.take()
        };
        if let Some(kept) = kept {
            self.current = kept;
        }
        self.committed = None;
        self.rolled_back = None;
    }

    pub(crate) fn set(&mut self, name: &str, value: Option<String>, local: bool) {
        let value = value.or_else(|| self.initial.set.get(name).cloned());
        self.change(local, |values| match &value {
            Some(value) => {
                values.set.insert(name.to_owned(), value.clone());
            }
            None => {
                values.set.remove(name);
            }
        });
    }

    pub(crate) fn authorize(&mut self, user: Option<String>) {
        let user = user.unwrap_or_else(|| self.initial.user.clone());
        self.change(false, |values| values.user.clone_from(&user));
    }

    pub(crate) fn reset(&mut self) {
        let initial = self.initial.set.clone();
        self.change(false, |values| values.set.clone_from(&initial));
    }

    fn change(&mut self, local: bool, change: impl Fn(&mut Values)) {
        change(&mut self.current);
        if let Some(committed) = self.committed.as_mut().filter(|_| !local) {
            change(committed);
        }
    }

    pub(crate) fn user(&self) -> &str {
        &self.current.user
    }

    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        match name {
            "session_authorization" => Some(self.user()),
            "server_version" => Some(super::startup::SERVER_VERSION),
            "transaction_isolation" => Some("read committed"),
            _ => self.current.set.get(name).map(String::as_str),
        }
    }
}
