//! Proxy commands: statements that the proxy executes itself, without an endpoint.

use std::time::Duration;

use magnoliahatch_client::objects::kind;
use magnoliahatch_core::classify;
use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::session::TxStatus;
use magnoliahatch_core::statement_class::StatementClass;
use magnoliahatch_core::token;
use magnoliahatch_core::token::Token;
use magnoliahatch_core::variable::SetVariable;

use crate::front::refusal::Refusal;
use crate::front::session::Session;
use crate::wire::encode;
use crate::wire::frame::Frame;

pub(crate) const TOKEN: &str = "magnoliahatch.token";
const REQUEST_ID: &str = "magnoliahatch.request_id";
const MAX_AGE: &str = "magnoliahatch.max_age_ms";
const DEADLINE: &str = "magnoliahatch.deadline_ms";
/// Time limit of a request unless the session sets another one.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Largest request id in bytes. Request ids are stored as keys of a table.
const MAX_REQUEST_ID_LEN: usize = 200;

impl Session {
    /// Runs one proxy command and returns its answer.
    pub(crate) fn interpret(&mut self, class: &StatementClass) -> Result<Vec<Frame>, Refusal> {
        match class {
            StatementClass::Set(change) => {
                self.set_proxy_variable(change)?;
                let verb = if change.value.is_some() {
                    "SET"
                } else {
                    "RESET"
                };
                Ok(vec![encode::command_complete(verb)])
            }
            StatementClass::Show(name) => {
                let value = self.show_proxy_variable(name)?;
                let [_, row] = encode::single_row(name, &value);
                Ok(vec![row, encode::command_complete("SHOW")])
            }
            StatementClass::Deallocate(name) => {
                if let Some(name) = name
                    && self.state.statement(name).is_none()
                {
                    return Err(Refusal::UnknownStatement(name.clone()));
                }
                self.state.deallocate(name.as_deref());
                let all = if name.is_some() { "" } else { " ALL" };
                Ok(vec![encode::command_complete(&format!("DEALLOCATE{all}"))])
            }
            StatementClass::DiscardAll if self.status() == TxStatus::Idle => {
                self.state.discard();
                self.request_id = None;
                self.max_age = None;
                Ok(vec![encode::command_complete("DISCARD ALL")])
            }
            _ => Err(Refusal::Unsupported {
                statement: "DISCARD ALL inside a transaction",
                alternative: "end the transaction first",
            }),
        }
    }

    /// Sets a session variable from the startup message.
    pub(crate) fn set_startup_variable(&mut self, name: &str, value: &str) -> Result<(), Refusal> {
        let quoted = format!("'{}'", value.replace('\'', "''"));
        let sql = format!("SET {name} = {quoted}");
        let class = classify::classify(&sql)?.into_iter().next();
        match class {
            Some(StatementClass::Set(change)) if change.is_proxy_variable() => self
                .set_proxy_variable(&SetVariable {
                    value: Some(quoted),
                    ..change
                }),
            Some(StatementClass::Set(change)) => {
                self.state.set_variable(change.name, quoted);
                Ok(())
            }
            _ => Err(Refusal::Variable {
                name: name.to_owned(),
                reason: "it cannot be set by the startup message",
            }),
        }
    }

    /// Sets one of the proxy's own variables.
    pub(crate) fn set_proxy_variable(&mut self, change: &SetVariable) -> Result<(), Refusal> {
        let value = change.unquoted_value();
        let invalid = |reason| Refusal::Variable {
            name: change.name.clone(),
            reason,
        };
        match change.name.as_str() {
            TOKEN => match value.filter(|value| !value.is_empty()) {
                Some(text) => self.accept_token(&text)?,
                None => self.seen = None,
            },
            REQUEST_ID => {
                let id = value.filter(|id| !id.is_empty());
                if id.as_ref().is_some_and(|id| id.len() > MAX_REQUEST_ID_LEN) {
                    return Err(invalid("it is longer than 200 bytes"));
                }
                self.request_id = id;
            }
            MAX_AGE => self.max_age = milliseconds(value).map_err(invalid)?,
            DEADLINE => {
                let limit = milliseconds(value).map_err(invalid)?;
                self.time_limit = limit.unwrap_or(DEFAULT_DEADLINE).min(MAX_DEADLINE);
            }
            _ => return Err(invalid("the proxy has no such variable")),
        }
        Ok(())
    }

    fn show_proxy_variable(&self, name: &str) -> Result<String, Refusal> {
        match name {
            TOKEN => Ok(self.token().unwrap_or_default()),
            REQUEST_ID => Ok(self.request_id.clone().unwrap_or_default()),
            MAX_AGE => Ok(self.max_read_age().as_millis().to_string()),
            DEADLINE => Ok(self.time_limit.as_millis().to_string()),
            _ => Err(Refusal::Variable {
                name: name.to_owned(),
                reason: "the proxy has no such variable",
            }),
        }
    }

    /// Returns the token for the newest position that the session has seen. `None` if it has seen
    /// none yet or there is no signing key.
    pub(crate) fn token(&self) -> Option<String> {
        let token = Token {
            database: self.identity.database.clone(),
            organisation: self.identity.organisation.clone(),
            position: self.seen?,
        };
        Some(token.encode(&self.token_key()?))
    }

    /// Largest age of data that the session's reads accept: the contract's limit, or a lower one
    /// that the session has set.
    pub(crate) fn max_read_age(&self) -> Duration {
        let view = self.context.config.borrow();
        let contract = view.contracts.get(&self.identity.organisation);
        let agreed = Duration::from_millis(contract.map_or(0, |c| c.max_age_ms));
        self.max_age.map_or(agreed, |age| age.min(agreed))
    }

    /// Records a log position whose data the client has seen.
    pub(crate) fn record_seen(&mut self, position: LogPosition) {
        self.seen = self.seen.max(Some(position));
    }

    fn accept_token(&mut self, text: &str) -> Result<(), Refusal> {
        let key = self.token_key().ok_or(Refusal::NoConfiguration)?;
        let token = Token::decode(text, &key)?;
        if token.organisation != self.identity.organisation
            || token.database != self.identity.database
        {
            return Err(Refusal::ForeignToken);
        }
        self.record_seen(token.position);
        Ok(())
    }

    fn token_key(&self) -> Option<Vec<u8>> {
        let view = self.context.config.borrow();
        let secret = view.secrets.get(kind::TOKEN_SECRET_NAME)?;
        token::decode_key(&secret.key).ok()
    }
}

fn milliseconds(value: Option<String>) -> Result<Option<Duration>, &'static str> {
    value
        .map(|text| text.parse().map(Duration::from_millis))
        .transpose()
        .map_err(|_| "it is not a whole number of milliseconds")
}
