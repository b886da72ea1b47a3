//! Calls the platform verbs and controls of member stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

use crate::member::Recording;

/// Limit of one call.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// State of a member as `platform_status()` reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    pub role: String,
    pub term: u64,
}

/// Role and term of a member; none if it does not answer.
pub async fn status(sql: SocketAddr) -> Option<MemberStatus> {
    let row = call(sql, "SELECT * FROM platform_status()").await?;
    Some(MemberStatus {
        role: row.get("role")?.clone(),
        term: row.get("term")?.parse().ok()?,
    })
}

/// What a member has received; none if it does not answer.
pub async fn recording(sql: SocketAddr) -> Option<Recording> {
    let row = call(sql, "SELECT * FROM platform_recorded()").await?;
    serde_json::from_str(row.get("recording")?).ok()
}

/// Starts to record statements and forgets earlier ones; none if the member does not answer.
pub async fn record(sql: SocketAddr) -> Option<()> {
    let row = call(sql, "SELECT * FROM platform_record(1)").await;
    row.map(drop)
}

async fn call(sql: SocketAddr, statement: &str) -> Option<BTreeMap<String, String>> {
    timeout(CALL_LIMIT, row(sql, statement)).await.ok()?.ok()?
}

async fn row(
    sql: SocketAddr,
    statement: &str,
) -> Result<Option<BTreeMap<String, String>>, tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(sql.ip().to_string())
        .port(sql.port())
        .user("platform")
        .dbname("platform");
    let (client, connection) = config.connect(NoTls).await?;
    let task = tokio::spawn(connection);
    let messages = client.simple_query(statement).await;
    task.abort();
    let row = messages?.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    Ok(row.map(|row| {
        let columns = row.columns().iter().enumerate();
        columns
            .map(|(index, column)| {
                let text = row.get(index).unwrap_or_default().to_owned();
                (column.name().to_owned(), text)
            })
            .collect()
    }))
}
