//! The links of a fault proxy.

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

/// The links of a fault proxy by name; clones share them.
#[derive(Debug, Clone, Default)]
pub struct FaultProxy {
    links: Arc<Mutex<BTreeMap<String, Link>>>,
    sources: Sources,
}

impl FaultProxy {
    /// Binds all links.
    pub async fn open(links: &[LinkSettings]) -> Result<Self, FaultError> {
        let proxy = Self::default();
        for link in links {
            proxy.add(link).await?;
        }
        Ok(proxy)
    }

    /// Binds one more link and returns its address.
    pub async fn add(&self, settings: &LinkSettings) -> Result<SocketAddr, FaultError> {
        match self.links.lock().await.entry(settings.name.clone()) {
            Entry::Occupied(_) => Err(FaultError::Duplicate(settings.name.clone())),
            Entry::Vacant(vacant) => {
                let link = Link::bind(settings, self.sources.clone()).await?;
                Ok(vacant.insert(link).listen())
            }
        }
    }

    /// Makes a process known, or replaces the one of this name.
    pub fn set_source(&self, name: String, source: Source) {
        self.sources.set(name, source);
    }

    /// Calls `act` with one link.
    pub async fn with<T>(&self, name: &str, act: impl FnOnce(&Link) -> T) -> Result<T, FaultError> {
        let links = self.links.lock().await;
        let link = links
            .get(name)
            .ok_or_else(|| FaultError::Unknown(name.to_owned()))?;
        Ok(act(link))
    }

    /// Calls `act` with each link in order of name.
    pub async fn map<T>(&self, act: impl Fn(&Link) -> T) -> Vec<T> {
        self.links.lock().await.values().map(act).collect()
    }
}
