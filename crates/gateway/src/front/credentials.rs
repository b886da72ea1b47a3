//! The database and the key that a client opened its session with.

use std::rc::Rc;

use bytes::Bytes;
use magnoliahatch_core::ids::OrganisationId;

use crate::model::configuration::ANONYMOUS;
use crate::model::configuration::Configuration;
use crate::model::error_code::ErrorCode;
use crate::model::job::SessionKey;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::model::region_limit::RegionLimit;
use crate::model::route::Route;
use crate::node::Node;
use crate::platform::Platform;

/// What a session gives access to, by the current configuration at each call.
pub struct Credentials<P: Platform> {
    node: Rc<Node<P>>,
    pub session: SessionKey,
}

impl<P: Platform> Credentials<P> {
    pub fn new(node: Rc<Node<P>>, database: &Bytes, key: &Bytes) -> Self {
        let text = |b: &Bytes| String::from_utf8_lossy(b).into_owned();
        Self {
            node,
            session: SessionKey {
                database: text(database),
                key: text(key),
            },
        }
    }

    /// Checks that the route exists and that the key gives access to it.
    pub fn check(&self) -> Result<(), ErrorCode> {
        self.route().map_err(|f| f.code)?;
        self.organisation().map_err(|f| f.code)?;
        Ok(())
    }

    fn configuration(&self) -> Result<Rc<Configuration>, Failure> {
        let configuration = self.node.configuration();
        configuration.ok_or(failure(ErrorCode::Busy, Cause::Stale))
    }

    pub fn route(&self) -> Result<Route, Failure> {
        let configuration = self.configuration()?;
        let route = configuration.routes.get(&self.session.database);
        route
            .cloned()
            .ok_or(failure(ErrorCode::NoDatabase, Cause::Member))
    }

    /// The regions in which statements for `organisation` may run now, and the version of the
    /// configuration that says so. Fails if the session's key no longer belongs to it.
    pub fn authorise(&self, organisation: &OrganisationId) -> Result<(RegionLimit, u64), Failure> {
        if self.organisation()? != *organisation {
            return Err(failure(ErrorCode::Busy, Cause::Access));
        }
        Ok((self.regions(organisation)?, self.version()))
    }

    /// The regions in which an organisation's statements may run.
    pub fn regions(&self, organisation: &OrganisationId) -> Result<RegionLimit, Failure> {
        let configuration = self.configuration()?;
        let regions = configuration.regions.get(organisation);
        Ok(regions.cloned().unwrap_or_default())
    }

    /// The organisation of the session's key in the current configuration.
    pub fn organisation(&self) -> Result<OrganisationId, Failure> {
        let configuration = self.configuration()?;
        let SessionKey { database, key } = &self.session;
        let organisation = configuration.organisation(database, key);
        let without_key = key.is_empty() && organisation == Some(ANONYMOUS);
        if !without_key && !self.node.keys_trusted() {
            return Err(failure(ErrorCode::Busy, Cause::Stale));
        }
        organisation
            .map(str::to_owned)
            .ok_or(failure(ErrorCode::Unauthorized, Cause::Member))
    }

    /// Version of the current configuration.
    pub fn version(&self) -> u64 {
        self.configuration().map_or(0, |c| c.version)
    }
}
