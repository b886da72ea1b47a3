//! Session variables set by clients.

/// Prefix of the variables that the proxy interprets itself.
pub const PROXY_VARIABLE_PREFIX: &str = "magnoliahatch.";

/// One change of a session variable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetVariable {
    /// Lower-case name; empty if all variables are reset.
    pub name: String,
    /// Value as SQL text; `None` for a reset to the default.
    pub value: Option<String>,
    /// Whether the change applies to the current transaction only (`SET LOCAL`).
    pub local: bool,
}

impl SetVariable {
    /// Whether the variable is interpreted by the proxy and not by the endpoint.
    pub fn is_proxy_variable(&self) -> bool {
        self.name.starts_with(PROXY_VARIABLE_PREFIX)
    }

    /// Value without its enclosing quotes and with doubled quotes undone.
    pub fn unquoted_value(&self) -> Option<String> {
        let value = self.value.as_deref()?;
        let inner = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\''));
        Some(inner.map_or_else(|| value.to_owned(), |text| text.replace("''", "'")))
    }
}
