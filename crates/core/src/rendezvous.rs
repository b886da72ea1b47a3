//! Rendezvous hashing, which assigns a task to one of the live hosts without coordination.

/// Host with the highest score for a task. Removing any other host does not reassign the task.
pub fn owner<'a>(task: &str, hosts: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    hosts
        .into_iter()
        .max_by_key(|host| (score(task, host), std::cmp::Reverse(*host)))
}

/// The hosts with the highest scores for a task, at most `count`, in order of preference.
pub fn ranking<'a>(
    task: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<String> {
    let mut scored: Vec<_> = hosts
        .into_iter()
        .map(|host| (std::cmp::Reverse(score(task, host)), host))
        .collect();
    scored.sort_unstable();
    let best = scored.into_iter().take(count);
    best.map(|(_, host)| host.to_owned()).collect()
}

/// FNV-1a with a final mixing step. All hosts must compute the same scores, so the standard hasher
/// is not used: its result may change between Rust releases.
fn score(task: &str, host: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = task.bytes().chain([0]).chain(host.bytes());
    let mut hash = bytes.fold(OFFSET, |h, b| (h ^ u64::from(b)).wrapping_mul(PRIME));
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
