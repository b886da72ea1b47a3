//! The commands, one area a file.

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
use crate::request::Request;
use crate::request::Verb;

/// Runs a command against the administration API.
pub async fn execute(client: &AdminClient, request: &Request) -> Result<Report, CtlError> {
    match request {
        Request::Contract(verb) => contract::run(client, verb).await,
        Request::Route(verb) => route::run(client, verb).await,
        Request::Database(verb) => database::run(client, verb).await,
        Request::KeyCreate { organisation } => key::create(client, organisation).await,
        Request::KeyShow { organisation } => key::show(client, organisation).await,
        Request::KeyWithdraw { organisation, id } => key::withdraw(client, organisation, id).await,
        Request::Place {
            subject,
            name,
            state,
            version,
        } => placement::change(client, *subject, name, *state, *version).await,
        Request::PlacementShow { subject } => placement::show(client, *subject).await,
        Request::Switchover { database, member } => {
            fleet::switchover(client, database, member.clone()).await
        }
        Request::SecretCreate => fleet::create_secret(client).await,
        Request::Status => fleet::status(client).await,
        Request::Explain { id, files } => explain::run(id, files),
    }
}

/// How a kind of object is shown and changed.
struct Area<F, S, P> {
    /// Collection's path, for instance `/contracts`.
    path: &'static str,
    header: &'static [&'static str],
    row: fn(&Versioned<S>) -> Vec<String>,
    /// The body to write, from the fields given and the object that they change.
    body: fn(&F, Option<S>) -> P,
}

impl<F, S: DeserializeOwned + Serialize, P: Serialize> Area<F, S, P> {
    async fn run(&self, client: &AdminClient, verb: &Verb<F>) -> Result<Report, CtlError> {
        match verb {
            Verb::Create { name, fields } => {
                let body = (self.body)(fields, None);
                self.put(client, name, 0, &body).await
            }
            Verb::Change {
                name,
                fields,
                version,
            } => {
                let found = self.get(client, name).await?;
                let body = (self.body)(fields, Some(found.value));
                let version = version.unwrap_or(found.version);
                self.put(client, name, version, &body).await
            }
            Verb::Show { name: Some(name) } => self.show(&[self.get(client, name).await?]),
            Verb::Show { name: None } => {
                let list: Vec<Versioned<S>> = client.get(self.path).await?;
                self.show(&list)
            }
            Verb::Withdraw { name, version } => {
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
        format!("{}/{}", self.path, segment(name))
    }
}

/// A name as one segment of a path. Names outside the allowed characters reach the daemon, which
/// refuses them with an explanation.
fn segment(name: &str) -> String {
    let mut text = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"._-".contains(&byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

fn optional<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), T::to_string)
}
