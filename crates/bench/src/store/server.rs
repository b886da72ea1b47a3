//! Server of the stand-in and the state behind its calls.

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
use crate::store::counts::Counts;
use crate::store::fault::Answer;
use crate::store::fault::Fault;
use crate::store::objects::Objects;
use crate::store::refusal::Refusal;
use crate::store::settings::StoreSettings;
use crate::store::start_error::StartError;

/// A running store stand-in.
pub struct StoreServer {
    http: HttpServer<State>,
    closing: CancellationToken,
}

impl StoreServer {
    /// Binds the socket and starts to serve.
    pub fn bind(settings: &StoreSettings) -> Result<Self, StartError> {
        let closing = CancellationToken::new();
        let state = State::new(settings, closing.clone())?;
        let config = ConfigDropshot {
            bind_address: settings.listen,
            // A caller that gave up releases its waiting call.
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..Default::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let http = ServerBuilder::new(api::description()?, state, log)
            .config(config)
            .start()?;
        Ok(Self { http, closing })
    }

    /// Bound address.
    pub fn addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Base URL for a store client.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Puts a fault in force, as `POST /fault` does.
    pub fn set_fault(&self, fault: Fault) {
        self.http.app_private().set_fault(fault);
    }

    /// Calls received so far, as `GET /counts` reports them.
    pub fn counts(&self) -> Counts {
        *lock(&self.http.app_private().counts)
    }

    /// Ends waiting calls with status 503 and stops.
    pub async fn close(self) {
        self.closing.cancel();
        // The only failure is that the server has already stopped.
        let _ = self.http.close().await;
    }
}

/// State shared by all calls.
pub struct State {
    objects: Mutex<Objects>,
    counts: Mutex<Counts>,
    revision: watch::Sender<Revision>,
    fault: watch::Sender<Fault>,
    closing: CancellationToken,
}

impl State {
    fn new(settings: &StoreSettings, closing: CancellationToken) -> Result<Self, StartError> {
        let mut objects = Objects::default();
        for seed in &settings.objects {
            let write_request = WriteRequest {
                change_id: "seed".to_owned(),
                value: seed.value.clone(),
            };
            let put = objects.put(&seed.kind, &seed.name, 0, write_request);
            put.map_err(|source| StartError::Seed {
                kind: seed.kind.clone(),
                name: seed.name.clone(),
                source,
            })?;
        }
        Ok(Self {
            revision: watch::Sender::new(objects.revision()),
            objects: Mutex::new(objects),
            counts: Mutex::new(Counts::default()),
            fault: watch::Sender::new(settings.fault),
            closing,
        })
    }

    /// Puts a fault in force.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Adds a call to the counts or reads them.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    /// Performs a read under the fault in force.
    pub async fn read<T>(&self, read: impl FnOnce(&Objects) -> T) -> Result<T, Refusal> {
        self.counts().reads += 1;
        self.enter().await?;
        Ok(read(&lock(&self.objects)))
    }

    /// Performs a change under the fault in force.
    pub async fn write<T>(
        &self,
        write: impl FnOnce(&mut Objects) -> Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        self.counts().writes += 1;
        self.enter().await?;
        let result = {
            let mut objects = lock(&self.objects);
            let result = write(&mut objects);
            self.revision.send_replace(objects.revision());
            result
        };
        let fault = *self.fault.borrow();
        if fault == Fault::LostAnswer {
            self.hold(fault).await;
            return Err(Refusal::down());
        }
        result
    }

    /// Waits for changes after a revision; the list is empty when the wait ends first.
    pub async fn watch(&self, after: Revision, wait: Duration) -> Result<ChangeList, Refusal> {
        self.counts().watches += 1;
        let deadline = Instant::now() + wait;
        self.enter().await?;
        let mut revision = self.revision.subscribe();
        let mut fault = self.fault.subscribe();
        tokio::select! {
            _ = revision.wait_for(|revision| *revision > after) => {}
            _ = tokio::time::sleep_until(deadline) => {}
            _ = fault.wait_for(|fault| matches!(fault, Fault::Down { .. })) => {}
            _ = self.closing.cancelled() => return Err(Refusal::down()),
        }
        self.enter().await?;
        Ok(lock(&self.objects).changes(after))
    }

    async fn enter(&self) -> Result<(), Refusal> {
        let fault = *self.fault.borrow();
        match fault {
            Fault::None | Fault::LostAnswer => Ok(()),
            Fault::Slow { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Ok(())
            }
            Fault::Down { answer } => {
                if answer == Answer::Silent {
                    self.hold(fault).await;
                }
                Err(Refusal::down())
            }
        }
    }

    /// Gives no answer while this fault is in force.
    async fn hold(&self, fault: Fault) {
        let mut faults = self.fault.subscribe();
        tokio::select! {
            _ = faults.wait_for(|current| *current != fault) => {}
            _ = self.closing.cancelled() => {}
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
