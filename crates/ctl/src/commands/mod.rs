//! Implementation of the commands, one module per kind of object.

mod contract;
mod database;
pub(crate) mod explain;
mod fleet;
mod key;
mod placement;
mod route;

use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::versioned::Versioned;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CtlError;
use crate::report::Report;
use crate::request::Action;
use crate::request::Request;

/// Executes a command, in most cases through the administration API.
pub async fn execute(client: &AdminClient, request: &Request) -> Result<Report, CtlError> {
    match request {
        Request::Contract(action) => contract::run(client, action).await,
        Request::Route(action) => route::run(client, action).await,
        Request::Database(action) => database::run(client, action).await,
        Request::CreateKey { organisation } => key::create(client, organisation).await,
        Request::ShowKeys { organisation } => key::show(client, organisation).await,
        Request::WithdrawKey { organisation, id } => key::withdraw(client, organisation, id).await,
        Request::SetPlacement {
            subject,
            name,
            state,
            version,
        } => placement::change(client, *subject, name, *state, *version).await,
        Request::ShowPlacements { subject } => placement::show(client, *subject).await,
        Request::Switchover { database, member } => {
            fleet::switchover(client, database, member.clone()).await
        }
        Request::CreateSecret => fleet::create_secret(client).await,
        Request::Status => fleet::status(client).await,
        Request::Explain { id, files } => explain::run(id, files),
    }
}

/// Describes how the objects of one kind are shown and changed. `F` are the fields given on the
/// command line, `S` is the value that the API returns, and `P` the body that it accepts.
struct Resource<F, S, P> {
    /// Path of the collection, such as `/contracts`.
    path: &'static str,
    header: &'static [&'static str],
    row: fn(&Versioned<S>) -> Vec<String>,
    /// Builds the body to write from the given fields and the current object, if it exists.
    body: fn(&F, Option<S>) -> P,
}

impl<F, S: DeserializeOwned + Serialize, P: Serialize> Resource<F, S, P> {
    async fn run(&self, client: &AdminClient, action: &Action<F>) -> Result<Report, CtlError> {
        match action {
            Action::Create { name, fields } => {
                let body = (self.body)(fields, None);
                self.put(client, name, 0, &body).await
            }
            Action::Change {
                name,
                fields,
                version,
            } => {
                let current = self.get(client, name).await?;
                let body = (self.body)(fields, Some(current.value));
                let version = version.unwrap_or(current.version);
                self.put(client, name, version, &body).await
            }
            Action::Show { name: Some(name) } => self.show(&[self.get(client, name).await?]),
            Action::Show { name: None } => {
                let list: Vec<Versioned<S>> = client.get(self.path).await?;
                self.show(&list)
            }
            Action::Withdraw { name, version } => {
                let version = match version {
                    Some(version) => *version,
                    None => self.get(client, name).await?.version,
                };
                let path = self.object_path(name);
                let accepted: Accepted = client.delete(&path, Some(version)).await?;
                Report::accepted(&accepted)
            }
        }
    }

    async fn get(&self, client: &AdminClient, name: &str) -> Result<Versioned<S>, CtlError> {
        Ok(client.get(&self.object_path(name)).await?)
    }

    async fn put(
        &self,
        client: &AdminClient,
        name: &str,
        version: u64,
        body: &P,
    ) -> Result<Report, CtlError> {
        let path = self.object_path(name);
        let accepted: Accepted = client.put(&path, Some(version), body).await?;
        Report::accepted(&accepted)
    }

    fn show(&self, objects: &[Versioned<S>]) -> Result<Report, CtlError> {
        let rows = objects.iter().map(self.row).collect();
        Report::new(self.header, rows, &objects)
    }

    fn object_path(&self, name: &str) -> String {
        format!("{}/{}", self.path, encode_segment(name))
    }
}

/// Percent-encodes a name as one segment of a URL path. Invalid names are not rejected here but by
/// the daemon, which explains the error.
fn encode_segment(name: &str) -> String {
    let mut encoded = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"._-".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

/// Formats an optional value as a table cell; `-` if it is absent.
fn or_dash<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), T::to_string)
}
