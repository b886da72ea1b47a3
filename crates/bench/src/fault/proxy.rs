//! The set of links that a fault proxy forwards.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Mutex;

use crate::fault::error::FaultError;
use crate::fault::link::Link;
use crate::fault::link_settings::LinkSettings;
use crate::fault::source::Source;
use crate::fault::sources::Sources;

/// The links of a fault proxy by name. Clones share the same links.
#[derive(Debug, Clone, Default)]
pub struct FaultProxy {
    links: Arc<Mutex<BTreeMap<String, Link>>>,
    sources: Sources,
}

impl FaultProxy {
    /// Binds the given links and starts forwarding.
    pub async fn open(links: &[LinkSettings]) -> Result<Self, FaultError> {
        let proxy = Self::default();
        for link in links {
            proxy.add(link).await?;
        }
        Ok(proxy)
    }

    /// Binds one more link and returns the address it listens on.
    pub async fn add(&self, settings: &LinkSettings) -> Result<SocketAddr, FaultError> {
        match self.links.lock().await.entry(settings.name.clone()) {
            Entry::Occupied(_) => Err(FaultError::DuplicateLink(settings.name.clone())),
            Entry::Vacant(vacant) => {
                let link = Link::bind(settings, self.sources.clone()).await?;
                Ok(vacant.insert(link).listen())
            }
        }
    }

    /// Registers a process under a name, replacing any earlier entry of that name.
    pub fn set_source(&self, name: String, source: Source) {
        self.sources.set(name, source);
    }

    /// Calls `act` with the named link.
    pub async fn with_link<T>(
        &self,
        name: &str,
        act: impl FnOnce(&Link) -> T,
    ) -> Result<T, FaultError> {
        let links = self.links.lock().await;
        let link = links
            .get(name)
            .ok_or_else(|| FaultError::UnknownLink(name.to_owned()))?;
        Ok(act(link))
    }

    /// Calls `act` with each link, ordered by name, and collects the results.
    pub async fn map_links<T>(&self, act: impl Fn(&Link) -> T) -> Vec<T> {
        self.links.lock().await.values().map(act).collect()
    }
}
