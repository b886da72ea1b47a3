//! Runtime for control tasks.

use std::fs;
use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Name of the runtime's thread; identifies it when its CPU time is read.
const THREAD_NAME: &str = "control";

/// Single-threaded runtime for everything except client requests: configuration, administration,
/// messages between daemons, probes and limits. A flood of requests then cannot delay heartbeats,
/// and the CPU time of control tasks can be measured separately.
#[derive(Debug)]
pub struct ControlRuntime {
    runtime: Option<Runtime>,
}

impl ControlRuntime {
    /// Starts the runtime and its thread.
    pub fn spawn() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Calls `f` in the context of this runtime, on which the tasks that it spawns then run.
    pub fn enter<T>(&self, f: impl FnOnce() -> T) -> T {
        let _guard = self.runtime.as_ref().map(Runtime::enter);
        f()
    }

    /// Runs a future to completion on this runtime.
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

    /// CPU time used by the control thread; `None` if the system does not report it.
    pub fn control_cpu_time() -> Option<Duration> {
        threads_cpu_time(|name| name == THREAD_NAME)
    }

    /// CPU time used by all threads; `None` if the system does not report it.
    pub fn process_cpu_time() -> Option<Duration> {
        threads_cpu_time(|_| true)
    }

    /// Resident memory of the process in bytes; `None` if the system does not report it.
    pub fn resident_bytes() -> Option<u64> {
        let status = fs::read_to_string("/proc/self/status").ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib << 10)
    }
}

impl Drop for ControlRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // Dropping a runtime blocks until its tasks have stopped, which is not allowed inside
            // another runtime.
            runtime.shutdown_background();
        }
    }
}

/// Total CPU time of the threads whose name matches.
fn threads_cpu_time(matches: impl Fn(&str) -> bool) -> Option<Duration> {
    let mut total = Duration::ZERO;
    for entry in fs::read_dir("/proc/self/task").ok()?.flatten() {
        // A thread may exit between the listing and these reads.
        let Ok(name) = fs::read_to_string(entry.path().join("comm")) else {
            continue;
        };
        let Ok(stat) = fs::read_to_string(entry.path().join("schedstat")) else {
            continue;
        };
        if matches(name.trim()) {
            // The first field is the CPU time in nanoseconds.
            let nanos = stat.split_whitespace().next()?.parse().ok()?;
            total += Duration::from_nanos(nanos);
        }
    }
    Some(total)
}
