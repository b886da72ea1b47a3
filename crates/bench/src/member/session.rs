//! Serves one connection.

use std::collections::HashMap;
use std::sync::Arc;

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::extendedquery::PortalSuspended;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;
use tokio::net::TcpStream;

use crate::member::SqlError;
use crate::member::connection::Wire;
use crate::member::datum::Datum;
use crate::member::engine::Block;
use crate::member::executor::Executor;
use crate::member::outbox::Formats;
use crate::member::outbox::Outbox;
use crate::member::prepared::Outcome;
use crate::member::prepared::Portal;
use crate::member::prepared::Prepared;
use crate::member::recording::Statement;
use crate::member::shared::Shared;
use crate::member::sql;
use crate::member::sql::Kind;
use crate::member::startup;

/// Functions whose own answer is still sent after they have stopped the member.
const STOPPING: [&str; 2] = ["platform_freeze", "platform_silence"];

struct Session {
    shared: Arc<Shared>,
    wire: Wire,
    outbox: Outbox,
    executor: Executor,
    statements: HashMap<String, Arc<Prepared>>,
    portals: HashMap<String, Portal>,
    /// After an error, messages up to Sync are skipped.
    skipping: bool,
    /// The control address answers during a freeze.
    control: bool,
    stopping: bool,
}

/// Serves a connection to its end. `control` marks the address that stays usable in a freeze.
pub(crate) async fn serve(shared: Arc<Shared>, stream: TcpStream, control: bool) {
    let mut wire = Wire::new(stream);
    let mut outbox = Outbox::default();
    if !control {
        shared.gate.thawed().await;
    }
    let executor = match startup::accept(&shared, &mut wire, &mut outbox).await {
        Ok(Some(client)) => Executor::new(Arc::clone(&shared), client),
        Ok(None) => return,
        Err(error) => Err(error),
    };
    let result = match executor {
        Ok(executor) => {
            let mut session = Session {
                shared,
                wire,
                outbox,
                executor,
                statements: HashMap::new(),
                portals: HashMap::new(),
                skipping: false,
                control,
                stopping: false,
            };
            let result = session.run().await;
            (wire, outbox) = (session.wire, session.outbox);
            result
        }
        Err(error) => Err(error),
    };
    if let Err(error) = result
        && outbox.error(&error).is_ok()
    {
        // The client may be gone already.
        let _ = wire.flush(&mut outbox).await;
    }
}

impl Session {
    async fn run(&mut self) -> Result<(), SqlError> {
        self.ready().await?;
        let mut leading = self.shared.leading.subscribe();
        loop {
            let writing = self.executor.engine.writing_term();
            let message = tokio::select! {
                message = self.wire.read() => message?,
                _ = leading.wait_for(|term| *term != writing), if writing.is_some() => {
                    self.executor.engine.rollback();
                    return Err(SqlError::fatal(
                        "57P01",
                        "terminating connection: this member is no longer the primary",
                    ));
                }
            };
            let Some(message) = message else {
                return Ok(());
            };
            self.pass_gate().await;
            if !self.handle(message).await? {
                return Ok(());
            }
        }
    }

    /// Waits while the member is frozen; a silenced connection is drained to its end.
    async fn pass_gate(&mut self) {
        if self.control || self.stopping {
            return;
        }
        self.shared.gate.thawed().await;
        if self.executor.is_data() && self.shared.gate.is_silenced(self.executor.client.id) {
            self.wire.drain().await;
        }
    }

    async fn flush(&mut self) -> Result<(), SqlError> {
        self.pass_gate().await;
        self.stopping = false;
        self.wire.flush(&mut self.outbox).await
    }

    async fn ready(&mut self) -> Result<(), SqlError> {
        if self.executor.is_data() {
            self.outbox
                .push(PgWireBackendMessage::ParameterStatus(ParameterStatus::new(
                    "platform_position".to_owned(),
                    self.executor.engine.position.to_string(),
                )))?;
        }
        let status = match self.executor.engine.block {
            Block::None => TransactionStatus::Idle,
            Block::Open => TransactionStatus::Transaction,
            Block::Failed => TransactionStatus::Error,
        };
        self.outbox
            .push(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
                status,
            )))?;
        self.flush().await
    }

    fn fail(&mut self, error: SqlError) -> Result<(), SqlError> {
        self.executor.engine.fail();
        if error.fatal {
            return Err(error);
        }
        self.outbox.error(&error)
    }

    /// Handles a message; false at the end of the connection.
    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<bool, SqlError> {
        match message {
            PgWireFrontendMessage::Terminate(_) => return Ok(false),
            PgWireFrontendMessage::Query(query) => {
                let result = self.simple_query(&query.query).await;
                if let Err(error) = result.and_then(|()| self.executor.finish()) {
                    self.fail(error)?;
                }
                self.ready().await?;
            }
            PgWireFrontendMessage::Sync(_) => {
                if !self.skipping
                    && let Err(error) = self.executor.finish()
                {
                    self.fail(error)?;
                }
                self.skipping = false;
                if self.executor.engine.block == Block::None {
                    self.portals.clear();
                }
                self.ready().await?;
            }
            PgWireFrontendMessage::Flush(_) => self.flush().await?,
            message if message.is_extended_query() => {
                if !self.skipping
                    && let Err(error) = self.extended(message).await
                {
                    self.skipping = true;
                    self.fail(error)?;
                }
            }
            _ => return Err(SqlError::fatal("08P01", "unexpected message")),
        }
        Ok(true)
    }

    async fn simple_query(&mut self, text: &str) -> Result<(), SqlError> {
        for parsed in sql::split(text)? {
            let text = parsed.text.clone();
            let prepared = self.executor.prepare(parsed, &[]).await;
            let outcome = match prepared {
                Ok(prepared) => self.execute(&prepared, &[]).await?,
                Err(error) => {
                    self.record(&text, &[], Some(&error));
                    return Err(error);
                }
            };
            if !outcome.columns.is_empty() {
                self.outbox.columns(&outcome.columns, &Formats::default())?;
            }
            for row in &outcome.rows {
                self.outbox
                    .row(row, &outcome.columns, &Formats::default())?;
            }
            self.complete(&outcome)?;
        }
        Ok(())
    }

    async fn execute(
        &mut self,
        prepared: &Prepared,
        params: &[Datum],
    ) -> Result<Outcome, SqlError> {
        let result = self.executor.execute(prepared, params).await;
        self.record(&prepared.parsed.text, params, result.as_ref().err());
        if result.is_ok() {
            match &prepared.parsed.kind {
                Kind::Platform { function, .. } => {
                    self.stopping = STOPPING.contains(&function.as_str());
                }
                Kind::Deallocate(Some(name)) => {
                    self.statements.remove(name);
                }
                Kind::Deallocate(None) | Kind::DiscardAll => self.statements.clear(),
                _ => {}
            }
        }
        result
    }

    fn record(&self, text: &str, params: &[Datum], error: Option<&SqlError>) {
        if !self.executor.is_data() {
            return;
        }
        self.shared.recording().statement(Statement {
            connection: self.executor.client.id,
            user: self.executor.client.user.clone(),
            organisation: self.executor.variables.user().to_owned(),
            sql: text.to_owned(),
            params: params.iter().map(Datum::text).collect(),
            error: error.map(ToString::to_string),
        });
    }

    fn complete(&mut self, outcome: &Outcome) -> Result<(), SqlError> {
        match &outcome.tag {
            Some(tag) => self.outbox.complete(tag),
            None => self.outbox.push(PgWireBackendMessage::EmptyQueryResponse(
                EmptyQueryResponse::new(),
            )),
        }
    }

    async fn extended(&mut self, message: PgWireFrontendMessage) -> Result<(), SqlError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => {
                let mut parsed = sql::split(&parse.query)?;
                let (Some(first), true) = (parsed.pop(), parsed.is_empty()) else {
                    return Err(SqlError::new(
                        "42601",
                        "cannot insert multiple commands into a prepared statement",
                    ));
                };
                let prepared = self.executor.prepare(first, &parse.type_oids).await?;
                self.statements
                    .insert(parse.name.unwrap_or_default(), Arc::new(prepared));
                self.outbox
                    .push(PgWireBackendMessage::ParseComplete(ParseComplete::new()))
            }
            PgWireFrontendMessage::Bind(bind) => {
                let prepared = self.statement(bind.statement_name.as_ref())?;
                let portal = bound(prepared, &bind)?;
                self.portals
                    .insert(bind.portal_name.unwrap_or_default(), portal);
                self.outbox
                    .push(PgWireBackendMessage::BindComplete(BindComplete::new()))
            }
            PgWireFrontendMessage::Describe(describe) => {
                if describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
                    let prepared = self.statement(describe.name.as_ref())?;
                    self.outbox.params(&prepared.params)?;
                    return self.outbox.columns(&prepared.columns, &Formats::default());
                }
                let name = describe.name.unwrap_or_default();
                let portal = self.portals.get(&name).ok_or_else(|| no_portal(&name))?;
                self.outbox
                    .columns(&portal.prepared.columns, &portal.formats)
            }
            PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let portal = self.portals.remove(&name).ok_or_else(|| no_portal(&name))?;
                let limit = usize::try_from(execute.max_rows).unwrap_or(0);
                let portal = self.execute_portal(portal, limit).await?;
                self.portals.insert(name, portal);
                Ok(())
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.outbox
                    .push(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
            }
            _ => Err(SqlError::new("08P01", "unexpected message")),
        }
    }

    /// Sends up to `limit` rows of a portal, all if the limit is 0.
    async fn execute_portal(
        &mut self,
        mut portal: Portal,
        limit: usize,
    ) -> Result<Portal, SqlError> {
        let mut outcome = match portal.pending.take() {
            Some(pending) => pending,
            None => {
                let prepared = Arc::clone(&portal.prepared);
                self.execute(&prepared, &portal.params).await?
            }
        };
        let count = match limit {
            0 => outcome.rows.len(),
            limit => limit.min(outcome.rows.len()),
        };
        for row in outcome.rows.drain(..count) {
            self.outbox.row(&row, &outcome.columns, &portal.formats)?;
        }
        if outcome.rows.is_empty() {
            self.complete(&outcome)?;
        } else {
            self.outbox
                .push(PgWireBackendMessage::PortalSuspended(PortalSuspended::new()))?;
        }
        portal.pending = Some(outcome);
        Ok(portal)
    }

    fn statement(&self, name: Option<&String>) -> Result<Arc<Prepared>, SqlError> {
        let name = name.map_or("", String::as_str);
        self.statements.get(name).cloned().ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            SqlError::new("26000", message)
        })
    }
}

fn bound(prepared: Arc<Prepared>, bind: &extendedquery::Bind) -> Result<Portal, SqlError> {
    if bind.parameters.len() != prepared.params.len() {
        return Err(SqlError::new(
            "08P01",
            format!(
                "bind message supplies {} parameters, but the statement requires {}",
                bind.parameters.len(),
                prepared.params.len()
            ),
        ));
    }
    let formats = Formats(bind.parameter_format_codes.clone());
    let params = bind.parameters.iter().zip(&prepared.params).enumerate();
    let params = params
        .map(|(at, (bytes, kind))| Datum::decode(bytes.as_deref(), kind, formats.binary(at)))
        .collect::<Result<_, _>>()?;
    Ok(Portal {
        params,
        formats: Formats(bind.result_column_format_codes.clone()),
        prepared,
        pending: None,
    })
}

fn no_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal \"{name}\" does not exist"))
}
