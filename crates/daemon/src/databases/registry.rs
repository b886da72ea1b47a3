//! Registry of the database groups of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Revision;
use tokio::runtime::Handle;
use tokio::sync::watch;

use crate::databases::database::Database;
use crate::peers::fleet::Fleet;

/// All database groups of the configuration, updated when the configuration changes.
#[derive(Debug)]
pub struct DatabaseRegistry {
    state: RwLock<State>,
    fleet: Fleet,
    /// Runtime of the control tasks. Tasks of a group run on it even if a session on another
    /// runtime is the first to request the group.
    runtime: Handle,
}

#[derive(Debug, Default)]
struct State {
    /// Revision of the last applied configuration.
    revision: Revision,
    databases: BTreeMap<DatabaseId, Arc<Database>>,
}

impl DatabaseRegistry {
    /// Creates the registry and starts a task that updates it until the configuration channel
    /// closes.
    pub fn spawn(mut config: watch::Receiver<Arc<ConfigView>>, fleet: Fleet) -> Arc<Self> {
        let registry = Arc::new(Self {
            state: RwLock::default(),
            fleet,
            runtime: Handle::current(),
        });
        registry.update(&config.borrow_and_update());
        let weak = Arc::downgrade(&registry);
        tokio::spawn(async move {
            while config.changed().await.is_ok() {
                let Some(registry) = weak.upgrade() else {
                    break;
                };
                registry.update(&config.borrow_and_update());
            }
        });
        registry
    }

    /// Looks up a group as configured in `view`. Applies `view` first if the update task has not
    /// done so yet.
    pub fn get(&self, name: &str, view: &ConfigView) -> Option<Arc<Database>> {
        let wanted = view.databases.get(name)?;
        let find = || {
            let state = self.state.read().expect("no holder of this lock panics");
            state.databases.get(name).cloned()
        };
        let current = find().filter(|database| database.has_members(&wanted.members));
        current.or_else(|| {
            self.update(view);
            find()
        })
    }

    /// Returns all groups.
    pub fn all(&self) -> Vec<Arc<Database>> {
        let state = self.state.read().expect("no holder of this lock panics");
        state.databases.values().cloned().collect()
    }

    /// Applies a configuration unless a newer one has been applied already.
    fn update(&self, view: &ConfigView) {
        let _guard = self.runtime.enter();
        let mut state = self.state.write().expect("no holder of this lock panics");
        if view.revision < state.revision {
            return;
        }
        state.revision = view.revision;
        state.databases.retain(|name, database| {
            let wanted = view.databases.get(name);
            wanted.is_some_and(|wanted| database.has_members(&wanted.members))
        });
        for (name, wanted) in &view.databases {
            state.databases.entry(name.clone()).or_insert_with(|| {
                Database::spawn(name.clone(), wanted.members.clone(), &self.fleet)
            });
        }
    }
}
