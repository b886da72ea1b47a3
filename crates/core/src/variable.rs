//! Session variables set by callers.

/// Prefix of the variables that the proxy itself interprets.
pub const OWN_PREFIX: &str = "magnoliahatch.";

/// One change of a session variable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetVariable {
    /// Lower-case name; empty for all variables.
    pub name: String,
    /// The value as SQL text; none for a reset.
    pub value: Option<String>,
    /// Whether the change ends with the transaction.
    pub local: bool,
}

impl SetVariable {
    /// Whether the proxy interprets the variable, rather than the endpoint.
    pub fn is_own(&self) -> bool {
        self.name.starts_with(OWN_PREFIX)
    }

    /// Value without quotes.
    pub fn plain_value(&self) -> Option<String> {
        let value = self.value.as_deref()?;
        let inner = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\''));
        Some(inner.map_or_else(|| value.to_owned(), |text| text.replace("''", "'")))
    }
}
