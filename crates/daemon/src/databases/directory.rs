//! All database groups of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::ids::DatabaseId;
use tokio::sync::watch;

use crate::databases::database::Database;
use crate::peers::fleet::Fleet;

/// Longest wait for a group; it is started as soon as the configuration is applied.
const READY_MAX: Duration = Duration::from_secs(5);

/// All database groups of the configuration, kept current.
#[derive(Debug)]
pub struct Directory {
    databases: RwLock<BTreeMap<DatabaseId, Arc<Database>>>,
    fleet: Fleet,
    changes: watch::Sender<()>,
}

impl Directory {
    /// Follows the configuration until its channel closes.
    pub fn spawn(mut config: watch::Receiver<Arc<ConfigView>>, fleet: Fleet) -> Arc<Self> {
        let directory = Arc::new(Self {
            databases: RwLock::default(),
            fleet,
            changes: watch::Sender::default(),
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

    /// Waits until a group that the configuration names is started, as after a change.
    pub async fn ready(&self, name: &str) {
        let mut changes = self.changes.subscribe();
        let started = changes.wait_for(|()| self.get(name).is_some());
        // Statements for a group that does not appear are refused with the reason.
        let _ = tokio::time::timeout(READY_MAX, started).await;
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
        drop(databases);
        self.changes.send_replace(());
    }
}
