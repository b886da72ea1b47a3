//! Control of the stand-in by SQL functions.
//!
//! | function | effect |
//! |---|---|
//! | `platform_set_lag(ms)` | delay between receiving and applying an entry on this member |
//! | `platform_set_service(us)` | time that each data statement occupies its slot |
//! | `platform_freeze(ms)` | answers nothing for the time; 0 means until `platform_thaw()` |
//! | `platform_thaw()` | ends a freeze; call it on the control address |
//! | `platform_silence()` | data connections open now never answer again; new ones work |
//! | `platform_record(on)` | 1 starts recording statements, 0 stops; forgets what was recorded |
//! | `platform_recorded()` | the recording as JSON, see [`crate::member::Recording`] |

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::member::SqlError;
use crate::member::shared::Shared;
use crate::member::verbs::Args;

pub(crate) fn columns(function: &str) -> Option<&'static [&'static str]> {
    match function {
        "platform_set_lag"
        | "platform_set_service"
        | "platform_freeze"
        | "platform_thaw"
        | "platform_silence"
        | "platform_record" => Some(&["ok"]),
        "platform_recorded" => Some(&["recording"]),
        _ => None,
    }
}

pub(crate) fn call(
    shared: &Arc<Shared>,
    function: &str,
    args: &Args<'_>,
) -> Result<Vec<String>, SqlError> {
    match function {
        "platform_set_lag" => {
            shared.lag_ms.store(args.number(0)?, Ordering::Relaxed);
            shared.change(|_| ());
        }
        "platform_set_service" => shared.service_us.store(args.number(0)?, Ordering::Relaxed),
        "platform_freeze" => freeze(shared, Duration::from_millis(args.number(0)?)),
        "platform_thaw" => shared.gate.set_frozen(false),
        "platform_silence" => {
            let last = shared.next_connection.load(Ordering::Relaxed) - 1;
            shared.gate.silence(last);
        }
        "platform_record" => shared.recording().restart(args.number(0)? != 0),
        "platform_recorded" => {
            let text = serde_json::to_string(&*shared.recording())
                .map_err(|e| SqlError::new("XX000", e.to_string()))?;
            return Ok(vec![text]);
        }
        other => {
            return Err(SqlError::new(
                "42883",
                format!("function {other} does not exist"),
            ));
        }
    }
    Ok(vec!["true".to_owned()])
}

fn freeze(shared: &Arc<Shared>, length: Duration) {
    shared.gate.set_frozen(true);
    if length > Duration::ZERO {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            shared.gate.set_frozen(false);
        });
    }
}
