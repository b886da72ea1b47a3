//! HTTP server of the store stand-in and the state that its handlers share.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use magnoliahatch_client::objects::change_list::ChangeList;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_core::ids::Revision;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::store::api;
use crate::store::call_error::CallError;
use crate::store::counts::CallCounts;
use crate::store::fault::OutageAnswer;
use crate::store::fault::StoreFault;
use crate::store::objects::Objects;
use crate::store::settings::StoreSettings;
use crate::store::start_error::StartError;

/// A running store stand-in.
pub struct StoreServer {
    http: HttpServer<State>,
    shutdown: CancellationToken,
}

impl StoreServer {
    /// Binds the socket and starts serving.
    pub fn bind(settings: &StoreSettings) -> Result<Self, StartError> {
        let shutdown = CancellationToken::new();
        let state = State::new(settings, shutdown.clone())?;
        let config = ConfigDropshot {
            bind_address: settings.listen,
            // End a waiting call as soon as its caller disconnects.
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..Default::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let http = ServerBuilder::new(api::description()?, state, log)
            .config(config)
            .start()?;
        Ok(Self { http, shutdown })
    }

    /// Address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Base URL for a store client.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Replaces the current fault, like `POST /fault`.
    pub fn set_fault(&self, fault: StoreFault) {
        self.http.app_private().set_fault(fault);
    }

    /// Returns the number of calls received so far, like `GET /counts`.
    pub fn counts(&self) -> CallCounts {
        *lock(&self.http.app_private().counts)
    }

    /// Stops the server. Watches that wait for changes and withheld calls end with status 503.
    pub async fn close(self) {
        self.shutdown.cancel();
        // Fails only if the server has already stopped.
        let _ = self.http.close().await;
    }
}

/// State shared by all request handlers.
pub struct State {
    objects: Mutex<Objects>,
    counts: Mutex<CallCounts>,
    revision: watch::Sender<Revision>,
    fault: watch::Sender<StoreFault>,
    shutdown: CancellationToken,
}

impl State {
    fn new(settings: &StoreSettings, shutdown: CancellationToken) -> Result<Self, StartError> {
        let mut objects = Objects::default();
        for initial in &settings.objects {
            let write_request = WriteRequest {
                change_id: "seed".to_owned(),
                value: initial.value.clone(),
            };
            let result = objects.put(&initial.kind, &initial.name, 0, write_request);
            result.map_err(|source| StartError::DuplicateObject {
                kind: initial.kind.clone(),
                name: initial.name.clone(),
                source,
            })?;
        }
        Ok(Self {
            revision: watch::Sender::new(objects.revision()),
            objects: Mutex::new(objects),
            counts: Mutex::new(CallCounts::default()),
            fault: watch::Sender::new(settings.fault),
            shutdown,
        })
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.send_replace(fault);
    }

    /// Locks the call counts, to read or to increment them.
    pub fn counts(&self) -> MutexGuard<'_, CallCounts> {
        lock(&self.counts)
    }

    /// Counts a read and performs it subject to the current fault.
    pub async fn read<T>(&self, read: impl FnOnce(&Objects) -> T) -> Result<T, CallError> {
        self.counts().reads += 1;
        self.apply_fault().await?;
        Ok(read(&lock(&self.objects)))
    }

    /// Counts a write and performs it subject to the current fault.
    pub async fn write<T>(
        &self,
        write: impl FnOnce(&mut Objects) -> Result<T, CallError>,
    ) -> Result<T, CallError> {
        self.counts().writes += 1;
        self.apply_fault().await?;
        let result = {
            let mut objects = lock(&self.objects);
            let result = write(&mut objects);
            self.revision.send_replace(objects.revision());
            result
        };
        let fault = *self.fault.borrow();
        if fault == StoreFault::LostAnswer {
            self.withhold_answer(fault).await;
            return Err(CallError::down());
        }
        result
    }

    /// Waits up to `wait` for changes after a revision. The list is empty if there were none.
    pub async fn watch(&self, after: Revision, wait: Duration) -> Result<ChangeList, CallError> {
        self.counts().watches += 1;
        let deadline = Instant::now() + wait;
        self.apply_fault().await?;
        let mut revision = self.revision.subscribe();
        let mut fault = self.fault.subscribe();
        tokio::select! {
            _ = revision.wait_for(|revision| *revision > after) => {}
            _ = tokio::time::sleep_until(deadline) => {}
            _ = fault.wait_for(|fault| matches!(fault, StoreFault::Down { .. })) => {}
            _ = self.shutdown.cancelled() => return Err(CallError::down()),
        }
        self.apply_fault().await?;
        Ok(lock(&self.objects).changes(after))
    }

    /// Delays or fails a call that starts, as the current fault requires.
    async fn apply_fault(&self) -> Result<(), CallError> {
        let fault = *self.fault.borrow();
        match fault {
            StoreFault::None | StoreFault::LostAnswer => Ok(()),
            StoreFault::Slow { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Ok(())
            }
            StoreFault::Down { answer } => {
                if answer == OutageAnswer::Silent {
                    self.withhold_answer(fault).await;
                }
                Err(CallError::down())
            }
        }
    }

    /// Waits until the fault changes or the server stops.
    async fn withhold_answer(&self, fault: StoreFault) {
        let mut faults = self.fault.subscribe();
        tokio::select! {
            _ = faults.wait_for(|current| *current != fault) => {}
            _ = self.shutdown.cancelled() => {}
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
