//! Decides where the tokens of a request come from.

/// Where a host gets tokens of a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenSource<'a> {
    /// This host grants them.
    Own,
    /// This host.
    Owner(&'a str),
    /// This host's own share of the rate.
    Share,
}

/// Source of the tokens for the operations of this host's clients. Without an owner, as while this host
/// knows of none, each host has its share; if each granted the whole rate, it would be granted many
/// times.
pub fn for_clients<'a>(owner: Option<&'a str>, own: &str) -> TokenSource<'a> {
    match owner {
        Some(owner) if owner == own => TokenSource::Own,
        Some(owner) => TokenSource::Owner(owner),
        None => TokenSource::Share,
    }
}

/// Source of the tokens for a host that takes this one for the owner. `has_lost` tells whether this host
/// owned the rate and lost it; otherwise it may not have heard yet that it is the owner.
pub fn for_host<'a>(owner: Option<&'a str>, own: &str, has_lost: bool) -> TokenSource<'a> {
    match owner {
        Some(owner) if owner != own && has_lost => TokenSource::Owner(owner),
        Some(_) => TokenSource::Own,
        None => TokenSource::Share,
    }
}
