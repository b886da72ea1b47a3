//! Runtime of the control tasks.

use std::fs;
use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Name of the thread, by which its processor time is found.
const THREAD: &str = "control";

/// A runtime with one thread for everything that is not a caller's request: configuration,
/// administration, messages between daemons, probes and limits. A flood of requests then cannot
/// delay heartbeats, and the processor time of control can be read separately.
#[derive(Debug)]
pub struct Control {
    runtime: Option<Runtime>,
}

impl Control {
    /// Starts the thread.
    pub fn spawn() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(THREAD)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Runs a function whose tasks are to belong to this runtime.
    pub fn enter<T>(&self, f: impl FnOnce() -> T) -> T {
        let _guard = self.runtime.as_ref().map(Runtime::enter);
        f()
    }

    /// Runs a future to its end on this runtime.
    pub async fn run<F>(&self, future: F) -> F::Output
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        let Some(runtime) = &self.runtime else {
            return future.await;
        };
        match runtime.spawn(future).await {
            Ok(output) => output,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }

    /// Processor time that the thread has used; none where the system does not tell.
    pub fn cpu() -> Option<Duration> {
        threads_cpu(|name| name == THREAD)
    }

    /// Processor time that all threads have used; none where the system does not tell.
    pub fn process_cpu() -> Option<Duration> {
        threads_cpu(|_| true)
    }

    /// Resident memory of the process in bytes; none where the system does not tell.
    pub fn resident() -> Option<u64> {
        let status = fs::read_to_string("/proc/self/status").ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib << 10)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // Dropping a runtime inside another one would block the thread.
            runtime.shutdown_background();
        }
    }
}

/// Processor time of the threads whose name is wanted.
fn threads_cpu(wanted: impl Fn(&str) -> bool) -> Option<Duration> {
    let mut total = Duration::ZERO;
    for entry in fs::read_dir("/proc/self/task").ok()?.flatten() {
        // A thread may end between the listing and these reads.
        let Ok(name) = fs::read_to_string(entry.path().join("comm")) else {
            continue;
        };
        let Ok(stat) = fs::read_to_string(entry.path().join("schedstat")) else {
            continue;
        };
        if wanted(name.trim()) {
            // The first field is the time on the processor in nanoseconds.
            let nanos = stat.split_whitespace().next()?.parse().ok()?;
            total += Duration::from_nanos(nanos);
        }
    }
    Some(total)
}
