//! Authenticates clients and determines their organisation and database.

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::access::Access;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::KeyId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::RouteId;

use crate::front::client::Client;
use crate::front::refusal::Refusal;
use crate::front::startup::Parameters;
use crate::wire::body_reader::BodyReader;
use crate::wire::frame::Frame;
use crate::wire::frame_error::FrameError;
use crate::wire::tag;

/// Code of AuthenticationCleartextPassword.
const CLEARTEXT: i32 = 3;

/// Organisation, route and database of a session.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) organisation: OrganisationId,
    pub(crate) route: RouteId,
    pub(crate) database: DatabaseId,
    /// Key that the client presented; `None` on routes with open access.
    key: Option<KeyId>,
}

impl Identity {
    /// Whether the current configuration still allows the session.
    pub(crate) fn is_allowed(&self, view: &ConfigView) -> bool {
        let Some(route) = view.routes.get(&self.route) else {
            return false;
        };
        let access = match &self.key {
            Some(key) => {
                let contract = view.contracts.get(&self.organisation);
                route.access == Access::Key && contract.is_some_and(|c| c.has_key(key))
            }
            None => {
                route.access == Access::Open
                    && route.organisation.as_ref() == Some(&self.organisation)
            }
        };
        access && route.database == self.database
    }
}

/// Determines the organisation of a client. Requests a key unless the route has open access.
pub(crate) async fn authenticate(
    client: &mut Client,
    parameters: &Parameters,
    view: &ConfigView,
    deadline: std::time::Instant,
) -> Result<Identity, Refusal> {
    if !view.loaded {
        return Err(Refusal::NoConfiguration);
    }
    let name = &parameters.database;
    let route = view.routes.get(name);
    let open = route.filter(|route| route.access == Access::Open);
    let (organisation, key) = match open.and_then(|route| route.organisation.as_ref()) {
        Some(organisation) => (organisation.clone(), None),
        None => {
            // Only clients with a valid key learn that a route does not exist.
            let key = request_key(client, deadline).await?;
            let organisation = &parameters.user;
            let contract = view.contracts.get(organisation);
            let id = contract.and_then(|contract| contract.authenticate(&key));
            let id = id.ok_or_else(|| Refusal::WrongKey(organisation.clone()))?;
            (organisation.clone(), Some(id.clone()))
        }
    };
    let route = route.ok_or_else(|| Refusal::UnknownRoute(name.clone()))?;
    if !view.contracts.contains_key(&organisation) {
        return Err(Refusal::NoContract(organisation));
    }
    Ok(Identity {
        organisation,
        route: name.clone(),
        database: route.database.clone(),
        key,
    })
}

async fn request_key(client: &mut Client, deadline: std::time::Instant) -> Result<String, Refusal> {
    let request = Frame::new(tag::AUTHENTICATION, &CLEARTEXT.to_be_bytes());
    client.feed(request, deadline).await?;
    client.flush(deadline).await?;
    let answer = tokio::time::timeout_at(deadline.into(), client.receive()).await;
    let timeout = || FrameError::Io(std::io::ErrorKind::TimedOut.into());
    let closed = || FrameError::Io(std::io::ErrorKind::UnexpectedEof.into());
    let frame = answer.map_err(|_| timeout())?.ok_or_else(closed)??;
    if frame.tag() != tag::PASSWORD {
        return Err(Refusal::Unexpected(char::from(frame.tag())));
    }
    Ok(BodyReader::new(&frame).string()?)
}
