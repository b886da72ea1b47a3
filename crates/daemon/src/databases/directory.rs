//! All database groups of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::ids::DatabaseId;
use tokio::sync::watch;

use crate::databases::database::Database;
use crate::peers::fleet::Fleet;

/// All database groups of the configuration, kept current.
#[derive(Debug)]
pub struct Directory {
    databases: RwLock<BTreeMap<DatabaseId, Arc<Database>>>,
    fleet: Fleet,
}

impl Directory {
    /// Follows the configuration until its channel closes.
    pub fn spawn(mut config: watch::Receiver<Arc<ConfigView>>, fleet: Fleet) -> Arc<Self> {
        let directory = Arc::new(Self {
            databases: RwLock::default(),
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

    /// The group of a name, as configured when its last change was applied.
    pub fn get(&self, name: &str) -> Option<Arc<Database>> {
        let databases = self
            .databases
            .read()
            .expect("no holder of this lock panics");
        databases.get(name).cloned()
    }

    /// All groups.
    pub fn all(&self) -> Vec<Arc<Database>> {
        let databases = self
            .databases
            .read()
            .expect("no holder of this lock panics");
        databases.values().cloned().collect()
    }

    fn update(&self, view: &ConfigView) {
        let mut databases = self
            .databases
            .write()
            .expect("no holder of this lock panics");
        databases.retain(|name, database| {
            let wanted = view.databases.get(name);
            wanted.is_some_and(|wanted| database.has_members(&wanted.members))
        });
        for (name, wanted) in &view.databases {
            databases.entry(name.clone()).or_insert_with(|| {
                Database::spawn(name.clone(), wanted.members.clone(), &self.fleet)
            });
        }
    }
}
