//! Runs the limits and mesh of one host on a separate thread, so that the host can be paused and
//! killed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_daemon::limits::Limits;
use magnoliahatch_daemon::limits::channel;
use magnoliahatch_daemon::limits::settings::LimitSettings;
use magnoliahatch_daemon::mesh::Mesh;
use magnoliahatch_daemon::mesh::announcement::Announcement;
use magnoliahatch_daemon::mesh::event::MeshEvent;
use magnoliahatch_daemon::mesh::settings::MeshSettings;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// Times at which statements were admitted, over all hosts of a fleet.
pub type History = Arc<Mutex<Vec<Instant>>>;

pub struct Parts {
    pub limits: Limits,
    pub mesh: Mesh,
    pub events: Option<mpsc::Receiver<MeshEvent>>,
    pub announcement: watch::Sender<Announcement>,
    config: watch::Sender<Arc<ConfigView>>,
    handle: Handle,
}

pub struct Node {
    pub name: String,
    pub parts: Parts,
    /// Number of workers that send statements concurrently; 0 for no load.
    pub load: Arc<AtomicU32>,
    pub admitted: Arc<AtomicU64>,
    /// Rate of an open-loop load in statements per second: statements arrive whether or not earlier
    /// ones have been admitted.
    pub arrivals: Arc<AtomicU32>,
    pub refused: Arc<AtomicU64>,
    paused: Option<std::sync::mpsc::Sender<()>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    pub fn spawn(
        name: &str,
        tls: &Path,
        store: &str,
        settings: LimitSettings,
        history: History,
    ) -> Self {
        let mesh_settings = MeshSettings {
            listen: "127.0.0.1:0".parse().unwrap(),
            certificate: tls.join(format!("{name}.pem")),
            key: tls.join(format!("{name}.key")),
            authority: tls.join("authority.pem"),
        };
        let (parts_sender, parts_receiver) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let load = Arc::new(AtomicU32::new(0));
        let admitted = Arc::new(AtomicU64::new(0));
        let (arrivals, refused) = <(Arc<AtomicU32>, Arc<AtomicU64>)>::default();
        let (arrival_rate, refusals) = (arrivals.clone(), refused.clone());
        let store = StoreClient::open(store).unwrap();
        let host = name.to_owned();
        let (worker_load, admissions) = (load.clone(), admitted.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let incarnation = rand::random::<u64>().max(1);
                let (config, view) = watch::channel(Arc::new(ConfigView::default()));
                let (end, peer) = channel::channel_pair();
                let (announcement, announced) = watch::channel(Announcement::default());
                let (mesh, events) = Mesh::bind(
                    &mesh_settings,
                    host.clone(),
                    incarnation,
                    peer,
                    view.clone(),
                    announced,
                )
                .unwrap();
                let limits = Limits::spawn(host, incarnation, settings, end, store, view);
                for index in 0..MAX_WORKERS {
                    let worker = worker(
                        index,
                        limits.clone(),
                        worker_load.clone(),
                        admissions.clone(),
                        history.clone(),
                    );
                    tokio::spawn(worker);
                }
                tokio::spawn(generate_arrivals(
                    limits.clone(),
                    arrival_rate,
                    admissions,
                    refusals,
                    history,
                ));
                let parts = Parts {
                    limits,
                    mesh,
                    events: Some(events),
                    announcement,
                    config,
                    handle: Handle::current(),
                };
                parts_sender.send(parts).unwrap();
                let _ = stopped.await;
            });
            runtime.shutdown_background();
        });
        Self {
            name: name.to_owned(),
            parts: parts_receiver.recv().unwrap(),
            load,
            admitted,
            arrivals,
            refused,
            paused: None,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    pub fn configure(&self, view: &Arc<ConfigView>) {
        self.parts.config.send_replace(view.clone());
    }

    pub fn address(&self) -> SocketAddr {
        self.parts.mesh.address()
    }

    /// Pauses the whole host, like a process that received SIGSTOP.
    pub fn pause(&mut self) {
        let (resume, resumed) = std::sync::mpsc::channel::<()>();
        self.parts.handle.spawn(async move {
            // Blocks the host's only thread intentionally.
            let _ = resumed.recv();
        });
        self.paused = Some(resume);
    }

    pub fn resume(&mut self) {
        self.paused = None;
    }

    /// Stops the host without notifying its peers.
    pub fn kill(mut self) {
        self.paused = None;
        drop(self.stop.take());
        self.thread.take().unwrap().join().unwrap();
    }
}

/// Number of workers of a host, the maximum of its load.
pub const MAX_WORKERS: u32 = 40;

/// Sends one statement after the other while its index is below `load`.
async fn worker(
    index: u32,
    limits: Limits,
    load: Arc<AtomicU32>,
    admitted: Arc<AtomicU64>,
    history: History,
) {
    loop {
        if index >= load.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let deadline = Instant::now() + Duration::from_secs(1);
        match limits.admit("org", deadline).await {
            Ok(()) => {
                history.lock().unwrap().push(Instant::now());
                admitted.fetch_add(1, Ordering::Relaxed);
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Generates an open-loop load at the given rate.
async fn generate_arrivals(
    limits: Limits,
    arrivals: Arc<AtomicU32>,
    admitted: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    history: History,
) {
    let (mut last, mut due) = (Instant::now(), 0.0);
    loop {
        tokio::time::sleep(Duration::from_millis(5)).await;
        due += f64::from(arrivals.load(Ordering::Relaxed)) * last.elapsed().as_secs_f64();
        last = Instant::now();
        while due >= 1.0 {
            due -= 1.0;
            let limits = limits.clone();
            let (admitted, refused) = (admitted.clone(), refused.clone());
            let history = history.clone();
            tokio::spawn(async move {
                let deadline = Instant::now() + Duration::from_secs(2);
                if limits.admit("org", deadline).await.is_ok() {
                    history.lock().unwrap().push(Instant::now());
                    admitted.fetch_add(1, Ordering::Relaxed);
                } else {
                    refused.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    }
}

/// Control addresses of the hosts by name.
pub fn addresses<'a>(nodes: impl Iterator<Item = &'a Node>) -> BTreeMap<String, SocketAddr> {
    nodes.map(|n| (n.name.clone(), n.address())).collect()
}
