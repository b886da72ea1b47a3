//! Runs a member.

use std::net::SocketAddr;
use std::sync::Arc;

use tempfile::TempDir;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::member::Recording;
use crate::member::SqlError;
use crate::member::group::Group;
use crate::member::pull;
use crate::member::session;
use crate::member::settings::MemberSettings;
use crate::member::shared::Shared;
use crate::member::storage;

/// Why a member does not run.
#[derive(Debug, Error)]
pub enum MemberError {
    #[error("cannot listen on {address}: {source}")]
    Bind {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("cannot open the member's state: {0}")]
    State(#[from] std::io::Error),
    #[error("cannot apply the log: {0}")]
    Apply(#[from] SqlError),
    #[error("a task of the member has ended")]
    Ended,
}

/// A running member; dropping it ends all its connections at once, like the end of its process.
pub struct Member {
    /// Address of the SQL listener.
    pub sql: SocketAddr,
    /// Address that keeps answering while the member is frozen.
    pub control: Option<SocketAddr>,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
    _temporary: Option<TempDir>,
}

impl Member {
    /// What the member has received so far.
    pub fn recording(&self) -> Recording {
        self.shared.recording().clone()
    }

    /// Stops or resumes answering.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.gate.set_frozen(frozen);
    }

    /// Waits until a task of the member has failed; a healthy member runs until it is dropped.
    pub async fn failed(&mut self) {
        self.tasks.join_next().await;
    }
}

/// Binds the sockets and starts a member.
pub async fn spawn(settings: MemberSettings) -> Result<Member, MemberError> {
    let (dir, temporary) = match &settings.data_dir {
        Some(dir) => {
            std::fs::create_dir_all(dir)?;
            (dir.clone(), None)
        }
        None => {
            let dir = TempDir::new()?;
            (dir.path().to_owned(), Some(dir))
        }
    };
    let group = Group::open(&dir, settings.start)?;
    let listen = settings.listen.clone();
    let shared = Arc::new(Shared::new(settings, dir, group));
    let applier = storage::Applier::open(Arc::clone(&shared))?;
    let mut tasks = JoinSet::new();
    tasks.spawn(applier.run());
    let puller = Arc::clone(&shared);
    tasks.spawn(async move { pull::run(&puller).await });
    let sql = listen_on(&shared, &mut tasks, listen.sql, false).await?;
    let control = match listen.control {
        Some(address) => Some(listen_on(&shared, &mut tasks, address, true).await?),
        None => None,
    };
    Ok(Member {
        sql,
        control,
        shared,
        tasks,
        _temporary: temporary,
    })
}

async fn listen_on(
    shared: &Arc<Shared>,
    tasks: &mut JoinSet<()>,
    address: SocketAddr,
    control: bool,
) -> Result<SocketAddr, MemberError> {
    let bind = |source| MemberError::Bind { address, source };
    let listener = TcpListener::bind(address).await.map_err(bind)?;
    let bound = listener.local_addr().map_err(bind)?;
    let shared = Arc::clone(shared);
    tasks.spawn(async move {
        // Owned by the accepting task, so that its end ends the connections.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        // A failure costs latency only.
                        let _ = stream.set_nodelay(true);
                        connections.spawn(session::serve(Arc::clone(&shared), stream, control));
                    }
                    Err(error) => tracing::warn!(event = 9104, %error, "accept failed"),
                },
                Some(_) = connections.join_next() => {}
            }
        }
    });
    Ok(bound)
}
