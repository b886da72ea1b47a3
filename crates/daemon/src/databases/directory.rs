//! All database groups of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Revision;
use tokio::sync::watch;

use crate::databases::database::Database;
use crate::peers::fleet::Fleet;

/// All database groups of the configuration, kept current.
#[derive(Debug)]
pub struct Directory {
    state: RwLock<State>,
    fleet: Fleet,
}

#[derive(Debug, Default)]
struct State {
    /// Revision of the view that was applied last.
    revision: Revision,
    databases: BTreeMap<DatabaseId, Arc<Database>>,
}

impl Directory {
    /// Follows the configuration until its channel closes.
    pub fn spawn(mut config: watch::Receiver<Arc<ConfigView>>, fleet: Fleet) -> Arc<Self> {
        let directory = Arc::new(Self {
            state: RwLock::default(),
            fleet,
        });
        directory.update(&config.borrow_and_update());
        let weak = Arc::downgrade(&directory);
        tokio::spawn(async move {
            while config.changed().await.is_ok() {
                let Some(directory) = weak.upgrade() else {
                    break;
                };
                directory.update(&config.borrow_and_update());
            }
        });
        directory
    }

    /// The group of a name as configured. The task that follows the configuration may not have
    /// seen `view` yet.
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

    /// All groups.
    pub fn all(&self) -> Vec<Arc<Database>> {
        let state = self.state.read().expect("no holder of this lock panics");
        state.databases.values().cloned().collect()
    }

    /// Applies a view unless a newer one was applied already.
    fn update(&self, view: &ConfigView) {
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
