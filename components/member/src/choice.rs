//! Selection of a few daemons for a task, which is the same on every daemon without agreement
//! between them.

use sk_model::{ContentHash, ProxyId, content_hash};

use crate::MemberRecord;

/// Returns the rendezvous hash of a daemon for a task, which is the same on every daemon.
pub fn rendezvous_weight(task: &str, proxy: &str) -> ContentHash {
    content_hash(format!("{task} {proxy}").as_bytes())
}

/// Returns up to `max_count` active daemons of a data centre that watch the platform on its behalf.
///
/// Daemons whose records differ for a moment return different relays. More daemons then watch the
/// platform for that time, which is harmless.
pub fn choose_relays<'a>(
    records: impl Iterator<Item = &'a MemberRecord>,
    data_centre: &str,
    max_count: usize,
) -> Vec<ProxyId> {
    let mut weighted_proxies: Vec<(ContentHash, &ProxyId)> = records
        .filter(|record| record.data_centre == data_centre && record.is_active())
        .map(|record| (rendezvous_weight(data_centre, &record.proxy), &record.proxy))
        .collect();
    weighted_proxies.sort_unstable_by(|first, second| second.cmp(first));
    weighted_proxies.into_iter().take(max_count).map(|(_, proxy)| proxy.clone()).collect()
}
