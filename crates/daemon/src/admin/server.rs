//! HTTP server of the administration API.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::store::StoreClient;
use tokio::sync::watch;

use crate::admin::api;
use crate::admin::context::Admin;
use crate::admin::hooks::Hooks;
use crate::admin::start_error::AdminStartError;

/// Maximum size of a request body; a database with many members stays far below it.
const MAX_BODY_BYTES: usize = 64 << 10;

/// The running administration API.
pub struct AdminServer {
    http: HttpServer<Admin>,
}

impl AdminServer {
    /// Binds the socket and starts serving.
    pub fn bind(
        listen: SocketAddr,
        store: StoreClient,
        views: watch::Receiver<Arc<ConfigView>>,
        hooks: Hooks,
    ) -> Result<Self, AdminStartError> {
        let config = ConfigDropshot {
            bind_address: listen,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            // A call completes even if its client disconnects, so that the check against
            // concurrent changes is never skipped.
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..Default::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let admin = Admin::new(store, views, hooks);
        let http = ServerBuilder::new(api::description()?, admin, log)
            .config(config)
            .start()?;
        Ok(Self { http })
    }

    /// Bound address.
    pub fn addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Stops accepting calls and waits for those in progress.
    pub async fn close(self) {
        // The only failure is that the server has already stopped.
        let _ = self.http.close().await;
    }
}
