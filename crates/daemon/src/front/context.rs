//! State that all sessions share.

use std::sync::Arc;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;
use tokio::sync::watch;

use crate::databases::registry::DatabaseRegistry;
use crate::drains::DrainTracker;
use crate::front::cancel::CancelRegistry;
use crate::front::retry_budgets::RetryBudgets;
use crate::limits::Limits;
use crate::metrics::Metrics;

/// State that all sessions share.
#[derive(Debug)]
pub struct SessionContext {
    pub host: HostId,
    pub data_centre: DataCentreId,
    pub config: watch::Receiver<Arc<ConfigView>>,
    pub limits: Limits,
    pub registry: Arc<DatabaseRegistry>,
    pub metrics: Metrics,
    pub drains: DrainTracker,
    /// True once a planned stop has begun.
    pub stop: watch::Receiver<bool>,
    pub(crate) cancel_registry: CancelRegistry,
    pub(crate) retry_budgets: RetryBudgets,
}

impl SessionContext {
    /// Whether the host is stopping or out of service. Sessions then end between transactions.
    pub(crate) fn is_draining(&self) -> bool {
        *self.stop.borrow()
            || !self
                .config
                .borrow()
                .host_in_service(&self.host, &self.data_centre)
    }
}
