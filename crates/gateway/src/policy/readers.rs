//! Chooses the hosts that watch the platform's store for all.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

/// Hosts that watch the store. The second one is ready when the first fails.
pub const READERS: usize = 2;
/// Duty name; its hash places the readers.
const DUTY: &str = "store-reader";

/// The readers among these hosts, in the order in which the others ask them.
pub fn readers(hosts: &[HostId]) -> Vec<HostId> {
    let mut left: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let mut chosen = Vec::new();
    while chosen.len() < READERS {
        let Some(next) = rendezvous::owner(DUTY, left.iter().copied()) else {
            break;
        };
        chosen.push(next.to_owned());
        left.retain(|host| *host != next);
    }
    chosen
}
