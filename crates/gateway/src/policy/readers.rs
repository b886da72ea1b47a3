//! Chooses the hosts that watch the platform's store for all.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

/// Hosts that watch the store. Each call is priced, and the next in order takes over as soon as it
/// finds the first unreachable.
pub const READERS: usize = 1;
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
