//! The platform's verbs as SQL functions.

use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::Term;
use tokio::time::timeout;
use tokio_postgres::types::Type;

use crate::member::SqlError;
use crate::member::control;
use crate::member::datum::Datum;
use crate::member::group::Pulled;
use crate::member::shared::Shared;

/// Columns of a verb's row; none if there is no such verb.
pub(crate) fn columns(function: &str) -> Option<&'static [&'static str]> {
    Some(match function {
        "platform_status" => &[
            "member",
            "role",
            "term",
            "last_term",
            "received",
            "applied",
            "confirmed",
        ],
        "platform_fence" => &["granted", "term", "last_term", "received"],
        "platform_promote" => &["ok", "term"],
        "platform_follow" => &["ok"],
        "platform_wait" => &["term", "confirmed"],
        "platform_pull" => &["entries"],
        other => return control::columns(other),
    })
}

/// Type of a parameter, counted from 0.
pub(crate) fn param_type(function: &str, position: usize) -> Type {
    let text: &[usize] = match function {
        "platform_fence" | "platform_promote" => &[1],
        "platform_follow" => &[1, 2],
        "platform_pull" => &[0],
        _ => &[],
    };
    if text.contains(&position) {
        Type::TEXT
    } else {
        Type::INT8
    }
}

/// Arguments of a verb.
pub(crate) struct Args<'a>(pub(crate) &'a [Datum]);

impl Args<'_> {
    pub(crate) fn number(&self, at: usize) -> Result<u64, SqlError> {
        match self.0.get(at) {
            Some(Datum::Integer(value)) => u64::try_from(*value).ok(),
            Some(Datum::Text(text)) => text.parse().ok(),
            _ => None,
        }
        .ok_or_else(|| wrong(at, "a number that is not negative"))
    }

    pub(crate) fn text(&self, at: usize) -> Result<String, SqlError> {
        match self.0.get(at) {
            Some(Datum::Null) | None => Err(wrong(at, "text")),
            Some(datum) => Ok(datum.text()),
        }
    }
}

fn wrong(at: usize, expected: &str) -> SqlError {
    SqlError::new("22023", format!("argument {} must be {expected}", at + 1))
}

/// Calls a verb and returns its row.
pub(crate) async fn call(
    shared: &Arc<Shared>,
    function: &str,
    args: &[Datum],
) -> Result<Vec<String>, SqlError> {
    let args = Args(args);
    match function {
        "platform_status" => Ok(status(shared)),
        "platform_fence" => {
            let (term, candidate) = (args.number(0)?, args.text(1)?);
            shared.change(|group| {
                let granted = group.fence(term, &candidate)?;
                let last = group.log.last();
                Ok(row([
                    &granted,
                    &group.durable.term,
                    &last.term,
                    &last.index,
                ]))
            })
        }
        "platform_promote" => {
            let (term, candidate) = (args.number(0)?, args.text(1)?);
            shared.change(|group| {
                let ok = group.promote(term, &candidate)?;
                Ok(row([&ok, &group.durable.term]))
            })
        }
        "platform_follow" => {
            let (term, address) = (args.number(0)?, args.text(2)?);
            let address = address.parse().map_err(|_| wrong(2, "host:port"))?;
            let ok = shared.change(|group| group.follow(term, address))?;
            Ok(row([&ok]))
        }
        "platform_wait" => wait(shared, args.number(0)?, args.number(1)?, args.number(2)?).await,
        "platform_pull" => {
            let pulled = pull(shared, &args).await?;
            let text = serde_json::to_string(&pulled)
                .map_err(|e| SqlError::new("XX000", e.to_string()))?;
            Ok(vec![text])
        }
        other => control::call(shared, other, &args),
    }
}

fn row<const N: usize>(values: [&dyn ToString; N]) -> Vec<String> {
    values.iter().map(|value| value.to_string()).collect()
}

fn status(shared: &Shared) -> Vec<String> {
    let group = shared.group();
    let last = group.log.last();
    row([
        &shared.settings.member,
        &group.durable.role,
        &group.durable.term,
        &last.term,
        &last.index,
        &group.applied,
        &group.confirmed(),
    ])
}

/// Returns at once with 0 confirmed if this member is not the primary of the term.
async fn wait(
    shared: &Shared,
    term: Term,
    position: LogIndex,
    timeout_ms: u64,
) -> Result<Vec<String>, SqlError> {
    let reached = shared
        .wait_for(|group| (!group.leads(term) || group.confirmed() >= position).then_some(()));
    // A timeout is an answer: the row says how far the group has come.
    let _ = timeout(Duration::from_millis(timeout_ms), reached).await;
    let group = shared.group();
    let confirmed = if group.leads(term) {
        group.confirmed()
    } else {
        0
    };
    Ok(row([&group.durable.term, &confirmed]))
}

async fn pull(shared: &Shared, args: &Args<'_>) -> Result<Pulled, SqlError> {
    let member = args.text(0)?;
    let (term, last_term, position) = (args.number(1)?, args.number(2)?, args.number(3)?);
    let limit = Duration::from_millis(args.number(4)?);
    let first = shared.change(|group| group.pull(&member, term, last_term, position))?;
    if !matches!(&first, Pulled::Entries(entries) if entries.is_empty()) {
        return Ok(first);
    }
    let more = shared.wait_for(|group| {
        let grown = group.log.last().index > position || !group.leads(term);
        grown.then(|| group.pull(&member, term, last_term, position))
    });
    timeout(limit, more).await.unwrap_or(Ok(first))
}
