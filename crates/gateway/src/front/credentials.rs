//! The database and the key that a client opened its session with.

use std::rc::Rc;

use bytes::Bytes;
use magnoliahatch_core::ids::OrganisationId;

use crate::model::configuration::Configuration;
use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::model::region_limit::RegionLimit;
use crate::model::route::Route;
use crate::node::Node;
use crate::platform::Platform;

/// Organisation of sessions without a valid key, on routes that allow anonymous access.
pub const ANONYMOUS: &str = "-";

/// What a session gives access to, by the current configuration at each call.
pub struct Credentials<P: Platform> {
    node: Rc<Node<P>>,
    pub database: String,
    key: String,
}

impl<P: Platform> Credentials<P> {
    pub fn new(node: Rc<Node<P>>, database: &Bytes, key: &Bytes) -> Self {
        let text = |b: &Bytes| String::from_utf8_lossy(b).into_owned();
        Self {
            node,
            database: text(database),
            key: text(key),
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
        let route = configuration.routes.get(&self.database);
        route
            .cloned()
            .ok_or(failure(ErrorCode::NoDatabase, Cause::Member))
    }

    /// The regions in which statements for `organisation` may run now. Fails if the session's key no
    /// longer belongs to it.
    pub fn current_regions(&self, organisation: &OrganisationId) -> Result<RegionLimit, Failure> {
        if self.organisation()? != *organisation {
            return Err(failure(ErrorCode::Busy, Cause::Access));
        }
        self.regions(organisation)
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
        let anonymous = configuration
            .routes
            .get(&self.database)
            .is_some_and(|r| r.anonymous);
        if self.key.is_empty() && anonymous {
            return Ok(ANONYMOUS.to_owned());
        }
        if !self.node.keys_trusted() {
            return Err(failure(ErrorCode::Busy, Cause::Stale));
        }
        match configuration.keys.get(&self.key) {
            Some(organisation) => Ok(organisation.clone()),
            None if anonymous => Ok(ANONYMOUS.to_owned()),
            None => Err(failure(ErrorCode::Unauthorized, Cause::Member)),
        }
    }
}
