//! Setup of `tracing` output.

use schemars::JsonSchema;
use serde::Deserialize;
use tracing_subscriber::EnvFilter;

/// Format of the log lines on standard error.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    #[default]
    Human,
    Json,
}

/// Installs the global subscriber. `filter` has the syntax of `RUST_LOG`, which takes precedence.
pub fn init(format: LogFormat, filter: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(filter));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second call in the same process, as in tests, fails and leaves the first subscriber.
    let _ = match format {
        LogFormat::Human => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
